package operator

import (
	"bytes"
	"encoding/json"
)

// editedFrom is the top-level field that "service get" adds to a document as an
// annotation. It holds the generation that the document was read from. "service
// apply" uses it as the base of the edit and removes it.
const editedFrom = "edited_from"

// addAnnotation adds the annotation to a document and indents the result for
// editing.
func addAnnotation(document []byte, generation int64) ([]byte, error) {
	value, err := json.Marshal(generation)
	if err != nil {
		return nil, err
	}
	body := bytes.TrimSpace(document)
	var b bytes.Buffer
	b.WriteString(`{"` + editedFrom + `":`)
	b.Write(value)
	if rest := bytes.TrimSpace(body[1:]); rest[0] != '}' {
		b.WriteByte(',')
	}
	b.Write(body[1:])
	var out bytes.Buffer
	if err := json.Indent(&out, b.Bytes(), "", "  "); err != nil {
		return nil, err
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}

// byteRange is the half-open range [from, to) of byte offsets in a document.
type byteRange struct{ from, to int64 }

// removeAnnotation returns the document without its annotation, and the generation
// from the annotation, or nil if there is none. A file that is not a valid JSON object is
// returned unchanged, so that config.Parse reports the position of the error. It
// returns an *Error if the annotation is repeated or not a generation.
func removeAnnotation(file []byte) (document []byte, base *int64, err error) {
	dec := json.NewDecoder(bytes.NewReader(file))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return file, nil, nil
	}
	var annotation *byteRange
	for dec.More() {
		start := dec.InputOffset()
		name, err := dec.Token()
		if err != nil {
			return file, nil, nil
		}
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return file, nil, nil
		}
		if name != editedFrom {
			continue
		}
		if annotation != nil {
			return nil, nil, &Error{Exit: ExitInvalid, Message: editedFrom + ": got the field twice, allowed: once"}
		}
		annotation = &byteRange{start, dec.InputOffset()}
		base = new(int64)
		if err := json.Unmarshal(value, base); err != nil || *base < 0 || string(value) == "null" {
			return nil, nil, &Error{Exit: ExitInvalid, Message: editedFrom + ": got " + string(value) + ", allowed: a generation of 0 or more"}
		}
	}
	if annotation == nil {
		return file, nil, nil
	}
	rest := file[annotation.to:]
	if head := bytes.TrimSpace(file[:annotation.from]); len(head) == 1 {
		// The decoder's offset before a field other than the first lies before the
		// comma, so the range includes it. If the annotation is the first field, the
		// comma that follows it must be removed instead.
		if t := bytes.TrimLeft(rest, " \t\r\n"); len(t) > 0 && t[0] == ',' {
			rest = t[1:]
		}
	}
	return append(bytes.Clone(file[:annotation.from]), rest...), base, nil
}
