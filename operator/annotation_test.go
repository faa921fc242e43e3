package operator

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// Guards against an annotation that changes the document it is added to, and
// one that is kept, lost or misread wherever it stands in the file.
func TestAnnotation(t *testing.T) {
	is := is.New(t)
	for _, doc := range []string{`{}`, ` { "service" : "a", "budgets":{"edited_from":1} } `} {
		file, err := annotate([]byte(doc), 7)
		is.NoErr(err)
		got, base, err := unannotate(file)
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
		got, _, err := unannotate([]byte(file))
		is.NoErr(err)
		is.Equal(string(got), want)
	}
	for _, file := range []string{`{"edited_from":1,"edited_from":2}`, `{"edited_from":-1}`, `{"edited_from":null}`, `{"edited_from":"1"}`} {
		_, _, err := unannotate([]byte(file))
		is.Equal(asError(err).Exit, ExitInvalid)
	}
}
