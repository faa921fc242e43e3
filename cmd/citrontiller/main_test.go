package main

import (
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/internal/daemon"
	"github.com/citrontiller/citrontiller/internal/gatewayd"
	"github.com/citrontiller/citrontiller/internal/process"
)

// flagVariables adds the environment variables of a command's flags and of its subcommands'
// to out, by flag, as the help has them.
func flagVariables(t *testing.T, command reflect.Type, out map[string]string) {
	for i := range command.NumField() {
		f := command.Field(i)
		tag := f.Tag.Get("arg")
		inner := f.Type
		if inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct && (f.Anonymous || strings.HasPrefix(tag, "subcommand:")) {
			flagVariables(t, inner, out)
			continue
		}
		flag, variable := "", ""
		for _, part := range strings.Split(tag, ",") {
			if strings.HasPrefix(part, "--") {
				flag = part
			}
			if name, ok := strings.CutPrefix(part, "env:"); ok {
				variable = name
			}
		}
		if flag == "" {
			continue
		}
		if other, ok := out[flag]; ok && other != variable {
			t.Errorf("%s is %s in one command and %s in another", flag, other, variable)
		}
		out[flag] = variable
	}
}

// Guards against an error that names another environment variable than the help of the flag.
func TestErrorsNameTheVariableOfTheHelp(t *testing.T) {
	is := is.New(t)
	variables := map[string]string{}
	flagVariables(t, reflect.TypeFor[settings](), variables)
	flagVariables(t, reflect.TypeFor[daemon.Settings](), variables)
	for _, flag := range []string{"--settings", "--listen", "--tls-ca", "--base", "--entry", "--json", "--concurrency"} {
		is.True(variables[flag] != "") // of each command, also of embedded flags
	}
	for flag, variable := range variables {
		if process.Variable(flag) != variable {
			t.Errorf("%s: the error says %s, the help %q", flag, process.Variable(flag), variable)
		}
	}
	is.Equal(process.Variable("--tls-cert and --tls-key"), "CITRONTILLER_TLS_CERT and CITRONTILLER_TLS_KEY")
	is.True(strings.Contains(gatewayd.Settings{}.Check().Error(), "--settings (or CITRONTILLER_BOOT): got nothing"))
}
