package entry

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against usage that is read from generated text or from a chunk with null
// usage, and against usage that is missed because other events follow it.
func TestLastUsage(t *testing.T) {
	is := is.New(t)
	u, ok := lastUsage([]byte(`data: {"usage":null}` + "\n\n" + `data: {"usage": {"completion_tokens":7,"prompt_tokens_details":{"cached_tokens":42}}}` + "\n\ndata: [DONE]\n\n"))
	is.True(ok)
	is.Equal(u.Completion, int64(7))
	is.Equal(u.Details.Cached, int64(42))
	_, ok = lastUsage([]byte(`{"content":"\"usage\":{\"completion_tokens\":9}"}`))
	is.True(!ok)
	_, ok = lastUsage([]byte(`{"usage":null}`))
	is.True(!ok)
}
