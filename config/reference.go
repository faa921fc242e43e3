package config

import (
	"fmt"
	"reflect"
)

// Field describes one field of the document for the reference page
// docs/SERVICE-DOCUMENT.md.
type Field struct {
	Path    string
	Type    string
	Unit    string
	Default string
	Allowed string
	Doc     string
}

// Reference returns all fields of the document in the order of declaration.
// docs/SERVICE-DOCUMENT.md has one row for each.
func Reference() []Field {
	d := Default()
	return reference(reflect.ValueOf(d), "")
}

func reference(v reflect.Value, path string) []Field {
	var out []Field
	for i := range v.NumField() {
		sf, f := v.Type().Field(i), v.Field(i)
		name := join(path, jsonName(sf))
		field := Field{Path: name, Type: f.Type().Kind().String(), Unit: sf.Tag.Get("unit"), Default: fmt.Sprint(f), Allowed: allowed(sf), Doc: sf.Tag.Get("doc")}
		switch f.Kind() {
		case reflect.Struct:
			out = append(out, reference(f, name)...)
			continue
		case reflect.Slice:
			field.Type, field.Default = "list", ""
			out = append(out, field)
			if e := f.Type().Elem(); e.Kind() == reflect.Struct {
				out = append(out, reference(reflect.New(e).Elem(), name+"[]")...)
			}
			continue
		case reflect.Int, reflect.Int64:
			field.Type = "integer"
		case reflect.Bool:
			field.Type = "boolean"
		}
		if def := sf.Tag.Get("default"); def != "" {
			field.Default = def
		}
		out = append(out, field)
	}
	return out
}

// Row returns the field as a row of a Markdown table, without the line break.
func (f Field) Row() string {
	cell := func(s string) string {
		if s == "" {
			return "–"
		}
		return s
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s |", f.Path, f.Type, cell(f.Unit), cell(f.Default), cell(f.Allowed), f.Doc)
}
