package entry

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against cached tokens read from generated text, from a chunk with
// null usage, or not at all when events follow the usage.
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
