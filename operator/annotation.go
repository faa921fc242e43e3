package operator

import (
	"bytes"
	"encoding/json"
)

// editedFrom is the top-level field that "service get" adds to a document. It
// names the generation the file was made from, and "service apply" removes it.
const editedFrom = "edited_from"

// annotate adds the annotation to a document, indented for editing.
func annotate(document []byte, generation int64) ([]byte, error) {
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

// span is a part of a document, in bytes.
type span struct{ from, to int64 }

// unannotate returns the document without its annotation and the generation in
// it, nil without one. A file that isn't JSON is returned as it is; the parser
// then reports where it is wrong.
func unannotate(file []byte) (document []byte, base *int64, err error) {
	dec := json.NewDecoder(bytes.NewReader(file))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return file, nil, nil
	}
	var cut *span
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
		if cut != nil {
			return nil, nil, &Error{Exit: ExitInvalid, Message: editedFrom + ": got the field twice, allowed: once"}
		}
		cut = &span{start, dec.InputOffset()}
		base = new(int64)
		if err := json.Unmarshal(value, base); err != nil || *base < 0 || string(value) == "null" {
			return nil, nil, &Error{Exit: ExitInvalid, Message: editedFrom + ": got " + string(value) + ", allowed: a generation of 0 or more"}
		}
	}
	if cut == nil {
		return file, nil, nil
	}
	rest := file[cut.to:]
	if head := bytes.TrimSpace(file[:cut.from]); len(head) == 1 {
		// The first field leaves its comma behind, any other takes the one before it.
		if t := bytes.TrimLeft(rest, " \t\r\n"); len(t) > 0 && t[0] == ',' {
			rest = t[1:]
		}
	}
	return append(bytes.Clone(file[:cut.from]), rest...), base, nil
}
