package operator

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// Guards against an annotation that changes the rest of the document, and against
// one that is not removed or is misread at some position in the file.
func TestAnnotation(t *testing.T) {
	is := is.New(t)
	for _, doc := range []string{`{}`, ` { "service" : "a", "budgets":{"edited_from":1} } `} {
		file, err := addAnnotation([]byte(doc), 7)
		is.NoErr(err)
		got, base, err := removeAnnotation(file)
		is.NoErr(err)
		is.Equal(*base, int64(7))
		var a, b bytes.Buffer
		is.NoErr(json.Compact(&a, []byte(doc)))
		is.NoErr(json.Compact(&b, got))
		is.Equal(a.String(), b.String())
	}
	for file, want := range map[string]string{
		`{"a":1,"edited_from":2,"b":3}`: `{"a":1,"b":3}`,
		`{"a":1,"edited_from":2}`:       `{"a":1}`,
		`{"edited_from":2, "b":3}`:      `{ "b":3}`,
		`{"a":1`:                        `{"a":1`,
		`[1]`:                           `[1]`,
	} {
		got, _, err := removeAnnotation([]byte(file))
		is.NoErr(err)
		is.Equal(string(got), want)
	}
	for _, file := range []string{`{"edited_from":1,"edited_from":2}`, `{"edited_from":-1}`, `{"edited_from":null}`, `{"edited_from":"1"}`} {
		_, _, err := removeAnnotation([]byte(file))
		is.Equal(toError(err).Exit, ExitInvalid)
	}
}
