package fleet

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"path"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/citrontiller/citrontiller/wire/pb"
)

// Recorder notes every message of a session with its virtual time.
type Recorder struct {
	mu     sync.Mutex
	start  time.Time
	events []recorded
	// conversations is how many have begun.
	conversations uint64
}

type recorded struct {
	at  time.Duration
	who string
	// conversation is the HTTP exchange, stream or call that the message is in.
	conversation uint64
	text         string
	// attempt, seq and parts describe a Chunk.
	attempt string
	seq     uint64
	parts   int
}

// joins reports whether e continues the chunk before it at the same instant.
// How parts of one instant are grouped into chunks depends on scheduling.
func (e recorded) joins(before recorded) bool {
	return e.parts > 0 && before.parts > 0 && e.at == before.at && e.who == before.who && e.attempt == before.attempt &&
		e.seq == before.seq+uint64(before.parts)
}

func (e recorded) String() string {
	if e.parts > 0 {
		return fmt.Sprintf("-> %s Chunk seq=%d parts=%d", e.attempt, e.seq, e.parts)
	}
	return e.text
}

// NewRecorder returns a recorder whose time starts now.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// conversation notes the messages of one HTTP exchange, stream or call.
type conversation struct {
	recorder *Recorder
	who      string
	number   uint64
}

func (r *Recorder) converse(who string) *conversation {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conversations++
	return &conversation{r, who, r.conversations}
}

func (c *conversation) note(format string, args ...any) {
	c.add(recorded{text: fmt.Sprintf(format, args...)})
}

func (c *conversation) noteChunk(d *pb.Down, k *pb.Chunk) {
	c.add(recorded{attempt: d.AttemptId, seq: k.Seq, parts: len(k.Parts)})
}

func (c *conversation) add(e recorded) {
	r := c.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	e.at, e.who, e.conversation = time.Since(r.start), c.who, c.number
	r.events = append(r.events, e)
}

// Reset drops what was noted and restarts the time.
func (r *Recorder) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start, r.events = time.Now(), nil
}

var (
	patternID     = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	patternTicket = regexp.MustCompile(`(ticket=|"ticket_ms":)[0-9]+`)
	// patternValue matches what the key-value service's protocol encodes in base64.
	patternValue = regexp.MustCompile(`"(key|value|range_end)":"([A-Za-z0-9+/]+=*)"`)
	patternTime  = regexp.MustCompile(`"time":"[^"]*"`)
)

// Session returns the messages in order of time. Messages of one instant are
// ordered by process and, since their order depends on scheduling, by the text
// of their conversation; a conversation keeps its order. Random ids are
// replaced by numbered ones.
func (r *Recorder) Transcript() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out bytes.Buffer
	ids := map[string]string{}
	for events := slices.Clone(r.events); len(events) > 0; {
		n := slices.IndexFunc(events, func(e recorded) bool { return e.at != events[0].at })
		if n < 0 {
			n = len(events)
		}
		for _, e := range instant(events[:n], ids) {
			fmt.Fprintf(&out, "%12s %-8s %s\n", e.at, e.who, clip(stable(e.String(), ids, true)))
		}
		events = events[n:]
	}
	return out.Bytes()
}

// instant puts the messages of one instant in order.
func instant(events []recorded, ids map[string]string) []recorded {
	texts := map[uint64]string{}
	for _, e := range events {
		texts[e.conversation] += stable(e.String(), ids, false) + "\n"
	}
	slices.SortStableFunc(events, func(a, b recorded) int {
		return cmp.Or(strings.Compare(a.who, b.who), strings.Compare(texts[a.conversation], texts[b.conversation]),
			cmp.Compare(a.conversation, b.conversation))
	})
	joined := events[:0]
	for _, e := range events {
		if n := len(joined); n > 0 && e.joins(joined[n-1]) {
			joined[n-1].parts += e.parts
			continue
		}
		joined = append(joined, e)
	}
	return joined
}

// stable replaces what differs between runs. With number, an id that is not in
// ids gets the next number.
func stable(text string, ids map[string]string, number bool) string {
	text = patternID.ReplaceAllStringFunc(text, func(id string) string {
		if ids[id] == "" && number {
			ids[id] = fmt.Sprintf("id-%d", len(ids)+1)
		}
		return cmp.Or(ids[id], "id")
	})
	text = patternTicket.ReplaceAllString(text, "${1}T")
	return patternTime.ReplaceAllString(text, `"time":"T"`)
}

// maxNoted bounds the bytes of a message in one line.
const maxNoted = 300

func clip(s string) string {
	if len(s) > maxNoted {
		s = s[:maxNoted] + "..."
	}
	return s
}

// oneline returns a body as text in one line.
func oneline(b []byte) string {
	return strings.ReplaceAll(strings.TrimSpace(string(b)), "\n", "\\n")
}

// readable decodes the keys and values in a body of the key-value service.
func readable(b []byte) []byte {
	return patternValue.ReplaceAllFunc(b, func(m []byte) []byte {
		parts := patternValue.FindSubmatch(m)
		text, err := base64.StdEncoding.DecodeString(string(parts[2]))
		if err != nil {
			return m
		}
		return fmt.Appendf(nil, `"%s":'%s'`, parts[1], bytes.ReplaceAll(text, []byte{0}, []byte(`\0`)))
	})
}

// handler notes the requests and responses of an HTTP server.
func (r *Recorder) handler(name string, h http.Handler) http.Handler {
	if r == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		req.Body = io.NopCloser(bytes.NewReader(body))
		line := fmt.Sprintf("%s %s", req.Method, req.URL.RequestURI())
		c := r.converse(name)
		c.note("<- %s %s", line, oneline(readable(body)))
		nw := &notingWriter{ResponseWriter: w, conversation: c, line: line}
		defer func() {
			if p := recover(); p != nil {
				c.note("-> %s connection dropped", line)
				panic(p)
			}
		}()
		h.ServeHTTP(nw, req)
	})
}

type notingWriter struct {
	http.ResponseWriter
	conversation *conversation
	line         string
}

// Unwrap lets http.ResponseController reach the writer.
func (w *notingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *notingWriter) WriteHeader(status int) {
	w.conversation.note("-> %s %d", w.line, status)
	w.ResponseWriter.WriteHeader(status)
}

func (w *notingWriter) Write(b []byte) (int, error) {
	w.conversation.note("-> %s %s", w.line, oneline(readable(b)))
	return w.ResponseWriter.Write(b)
}

// interceptor notes the messages of an agent's gRPC streams.
func (r *Recorder) interceptor(name string) grpc.StreamServerInterceptor {
	return func(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
		if r == nil {
			return handler(srv, ss)
		}
		return handler(srv, &notingStream{ss, r.converse(name)})
	}
}

// unary notes the calls of an agent that are not streams.
func (r *Recorder) unary(name string) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
		if r == nil {
			return handler(ctx, req)
		}
		method := path.Base(info.FullMethod)
		c := r.converse(name)
		c.note("<- %s %s", method, describeUnary(req))
		reply, err := handler(ctx, req)
		c.note("-> %s %s", method, describeUnary(reply))
		return reply, err
	}
}

func describeUnary(m any) string {
	switch m := m.(type) {
	case *pb.RevokeRequest:
		return fmt.Sprintf("request=%s attempt=%s cancel=%t", m.RequestId, m.AttemptId, m.Cancel)
	case *pb.RevokeReply:
		return fmt.Sprintf("state=%s", m.State)
	case *pb.OfferRequest:
		return fmt.Sprintf("service=%s generation=%d", m.Service, m.Generation)
	case *pb.OfferReply:
		return fmt.Sprintf("generation=%d need=%t", m.Generation, m.Need)
	case *pb.PutRequest:
		return fmt.Sprintf("service=%s", m.Service)
	case *pb.PutReply:
		return fmt.Sprintf("generation=%d error=%q", m.Generation, m.Error)
	case *pb.RecordsReply:
		return fmt.Sprintf("records=%d", len(m.Records))
	}
	return ""
}

type notingStream struct {
	grpc.ServerStream
	conversation *conversation
}

func (s *notingStream) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)
	if up, ok := m.(*pb.Up); ok && err == nil {
		s.conversation.note("<- %s", describeUp(up))
	}
	return err
}

func (s *notingStream) SendMsg(m any) error {
	if st, ok := m.(*pb.AgentState); ok {
		s.conversation.note("-> Watch leaving=%t", st.Leaving)
	}
	if down, ok := m.(*pb.Down); ok && down.GetChunk() != nil {
		s.conversation.noteChunk(down, down.GetChunk())
	} else if ok {
		s.conversation.note("-> %s %s", down.AttemptId, describeDown(down))
	}
	return s.ServerStream.SendMsg(m)
}

func describeUp(u *pb.Up) string {
	switch k := u.Kind.(type) {
	case *pb.Up_Open:
		o := k.Open
		return fmt.Sprintf("Open request=%s attempt=%s endpoint=%s idempotent=%t ticket=%d %s %s", o.RequestId, o.AttemptId,
			o.EndpointId, o.Idempotent, o.TicketMs, o.GetHttp().GetMethod(), o.GetHttp().GetPath())
	case *pb.Up_Attach:
		return fmt.Sprintf("Attach attempt=%s next=%d", k.Attach.AttemptId, k.Attach.NextSeq)
	case *pb.Up_Ack:
		return fmt.Sprintf("Ack seq=%d", k.Ack.Seq)
	case *pb.Up_Cancel:
		return "Cancel"
	}
	return "unknown"
}

func describeDown(d *pb.Down) string {
	switch k := d.Kind.(type) {
	case *pb.Down_Accepted:
		return fmt.Sprintf("Accepted cached=%d", k.Accepted.CachedTokens)
	case *pb.Down_Refused:
		return fmt.Sprintf("Refused code=%s run=%s", k.Refused.Code, k.Refused.Run)
	case *pb.Down_Progress:
		return fmt.Sprintf("Progress acked=%d", k.Progress.AckedSeq)
	case *pb.Down_End:
		return fmt.Sprintf("End last=%d run=%s error=%q", k.End.LastSeq, k.End.Run, k.End.ErrorCode)
	}
	return "unknown"
}
