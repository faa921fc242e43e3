package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/citrontiller/citrontiller/route"
	"github.com/citrontiller/citrontiller/wire"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// tailBytes is how much of the end of a body is searched for the usage object.
const tailBytes = 2 << 10

// feedback reports the course of one attempt to the tracker. A nil feedback
// ignores everything: an attempt joined through a claim made no decision.
type feedback struct {
	attempt *route.Attempt
	bytes   int64
	tail    []byte
}

// message looks at one event of the call.
func (f *feedback) message(ctx context.Context, m wire.Message) {
	if f == nil {
		return
	}
	now := time.Now()
	switch {
	case m.Accepted != nil:
		f.attempt.Accepted(m.Accepted.CachedTokens, now)
	case m.Refused != nil && (m.Refused.Code == pb.RefusalCode_REFUSAL_OVERLOADED || m.Refused.Run == pb.Run_RUN_NOT_RUN):
		f.attempt.Refused(time.Now())
	case m.Refused != nil:
		f.attempt.Close(time.Now())
	case m.Err != nil:
		f.failed(ctx)
	case m.End != nil && m.End.ErrorCode != "":
		f.failed(ctx)
	case m.End != nil:
		f.end(now)
	}
	for _, p := range m.Parts {
		if p.Head != nil && p.Head.Status >= http.StatusInternalServerError {
			f.attempt.Failed(now)
		}
		if len(p.Data) > 0 {
			f.data(p.Data, now)
		}
	}
}

func (f *feedback) data(b []byte, now time.Time) {
	if f.bytes == 0 {
		f.attempt.FirstToken(now)
	}
	f.bytes += int64(len(b))
	f.tail = append(f.tail, b[max(0, len(b)-tailBytes):]...)
	if len(f.tail) > 2*tailBytes {
		f.tail = append(f.tail[:0], f.tail[len(f.tail)-tailBytes:]...)
	}
}

func (f *feedback) end(now time.Time) {
	u, ok := lastUsage(f.tail)
	if ok {
		f.attempt.Cached(u.Details.Cached, now)
	}
	f.attempt.End(u.Completion, f.bytes, time.Now())
}

// failed records a failure, unless the caller has cancelled the request.
func (f *feedback) failed(ctx context.Context) {
	if f == nil {
		return
	}
	if ctx.Err() != nil {
		f.attempt.Close(time.Now())
		return
	}
	f.attempt.Failed(time.Now())
}

// close ends the attempt if nothing else has.
func (f *feedback) close() {
	if f != nil {
		f.attempt.Close(time.Now())
	}
}

// usage is the OpenAI API's usage object.
type usage struct {
	Completion int64 `json:"completion_tokens"`
	Details    struct {
		Cached int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// lastUsage finds the last usage object. Quotes inside generated text are
// escaped, so that text can't imitate the key.
func lastUsage(tail []byte) (usage, bool) {
	var u usage
	i := bytes.LastIndex(tail, []byte(`"usage":`))
	if i < 0 {
		return u, false
	}
	rest := bytes.TrimLeft(tail[i+len(`"usage":`):], " ")
	if !bytes.HasPrefix(rest, []byte("{")) {
		return u, false
	}
	return u, json.NewDecoder(bytes.NewReader(rest)).Decode(&u) == nil
}
