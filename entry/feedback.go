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

// usageTailBytes is the length of the end of a body that is searched for the usage object.
const usageTailBytes = 2 << 10

// feedback reports the events of one attempt to the tracker. The methods of a nil
// feedback do nothing: an attempt joined through a claim has no decision.
type feedback struct {
	attempt *route.Attempt
	bytes   int64
	tail    []byte
}

// handleMessage reports one message of the call.
func (f *feedback) handleMessage(ctx context.Context, m wire.Message) {
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

// data reports the first token and keeps the end of the body.
func (f *feedback) data(b []byte, now time.Time) {
	if f.bytes == 0 {
		f.attempt.FirstToken(now)
	}
	f.bytes += int64(len(b))
	f.tail = append(f.tail, b[max(0, len(b)-usageTailBytes):]...)
	if len(f.tail) > 2*usageTailBytes {
		f.tail = append(f.tail[:0], f.tail[len(f.tail)-usageTailBytes:]...)
	}
}

// end reports a complete response with its usage.
func (f *feedback) end(now time.Time) {
	u, ok := lastUsage(f.tail)
	if ok {
		f.attempt.Cached(u.Details.Cached, now)
	}
	f.attempt.End(u.Completion, f.bytes, time.Now())
}

// failed reports a failure, unless the request was cancelled.
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

// close ends the attempt if it has not ended yet.
func (f *feedback) close() {
	if f != nil {
		f.attempt.Close(time.Now())
	}
}

// usage is the usage object of the OpenAI API.
type usage struct {
	Completion int64 `json:"completion_tokens"`
	Details    struct {
		Cached int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// lastUsage parses the last usage object in tail. Generated text can't contain
// the searched key, because quotes in JSON strings are escaped.
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
