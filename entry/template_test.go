package entry

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a transcript that loses or changes text because an event matches
// the template by accident or contains escapes.
func TestTranscriptKeepsText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var seen transcript
		var want strings.Builder
		for range rapid.IntRange(0, 40).Draw(t, "events") {
			text := rapid.OneOf(rapid.SampledFrom([]string{"w1 ", "", `"`, `\`, `"}}]}`, `","content":"`, "\n\n", "é", "\u2028"}), rapid.String()).Draw(t, "text")
			b, err := json.Marshal(text)
			is.NoErr(err)
			form := rapid.SampledFrom([]string{
				`{"id":"1","choices":[{"index":0,"delta":{"content":%s},"finish_reason":null}]}`,
				`{"id":"1","choices":[{"index":0,"delta":{"content": %s}}],"usage":null}`,
				`{"id":"1","choices":[{"index":0,"text":%s}]}`,
			}).Draw(t, "form")
			seen.add(fmt.Appendf(nil, "data: "+form+"\n\n", b))
			want.WriteString(strings.ToValidUTF8(text, "\ufffd"))
		}
		seen.parse()
		is.NoErr(seen.err)
		is.Equal(string(seen.text), want.String())
	})
}
