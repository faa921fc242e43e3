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

// Recorder records every message of a session with its virtual time.
type Recorder struct {
	mu     sync.Mutex
	start  time.Time
	events []event
	// exchanges is the number of exchanges started.
	exchanges uint64
}

// event is one recorded message.
type event struct {
	// at is the time since the recorder's start.
	at      time.Duration
	process string
	// exchange is the number of the exchange that the message belongs to.
	exchange uint64
	text     string
	// attempt, seq and parts describe a Chunk: its attempt id, the sequence number of
	// its first part and the number of its parts.
	attempt string
	seq     uint64
	parts   int
}

// continues reports whether e is the chunk that follows prev in its stream at the
// same instant. Scheduling decides how the parts of one instant are grouped into
// chunks, so such chunks are merged in the transcript.
func (e event) continues(prev event) bool {
	return e.parts > 0 && prev.parts > 0 && e.at == prev.at && e.process == prev.process && e.attempt == prev.attempt &&
		e.seq == prev.seq+uint64(prev.parts)
}

func (e event) String() string {
	if e.parts > 0 {
		return fmt.Sprintf("-> %s Chunk seq=%d parts=%d", e.attempt, e.seq, e.parts)
	}
	return e.text
}

// NewRecorder returns a recorder whose clock starts now.
func NewRecorder() *Recorder { return &Recorder{start: time.Now()} }

// exchange records the messages of one HTTP request, gRPC stream or unary call.
type exchange struct {
	recorder *Recorder
	process  string
	number   uint64
}

func (r *Recorder) newExchange(process string) *exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.exchanges++
	return &exchange{r, process, r.exchanges}
}

func (x *exchange) record(format string, args ...any) {
	x.add(event{text: fmt.Sprintf(format, args...)})
}

func (x *exchange) recordChunk(d *pb.Down, k *pb.Chunk) {
	x.add(event{attempt: d.AttemptId, seq: k.Seq, parts: len(k.Parts)})
}

func (x *exchange) add(e event) {
	r := x.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	e.at, e.process, e.exchange = time.Since(r.start), x.process, x.number
	r.events = append(r.events, e)
}

// Reset discards the recorded messages and restarts the clock.
func (r *Recorder) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start, r.events = time.Now(), nil
}

var (
	patternID     = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	patternTicket = regexp.MustCompile(`(ticket=|"ticket_ms":)[0-9]+`)
	// patternBase64 matches the fields that the key-value service's protocol encodes
	// in base64.
	patternBase64 = regexp.MustCompile(`"(key|value|range_end)":"([A-Za-z0-9+/]+=*)"`)
	patternTime   = regexp.MustCompile(`"time":"[^"]*"`)
)

// Transcript returns the messages in order of time, one a line. An arrow to the
// left marks a message that the process received, one to the right a message that
// it sent. The order of messages of one
// instant depends on scheduling, so they are sorted by process and by the text of
// their exchange at that instant; messages of one exchange keep their order.
// Random ids are replaced by numbered ones.
func (r *Recorder) Transcript() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out bytes.Buffer
	ids := map[string]string{}
	for events := slices.Clone(r.events); len(events) > 0; {
		n := slices.IndexFunc(events, func(e event) bool { return e.at != events[0].at })
		if n < 0 {
			n = len(events)
		}
		for _, e := range orderSimultaneous(events[:n], ids) {
			fmt.Fprintf(&out, "%12s %-8s %s\n", e.at, e.process, truncate(normalize(e.String(), ids, true)))
		}
		events = events[n:]
	}
	return out.Bytes()
}

// orderSimultaneous sorts the messages of one instant and merges consecutive chunks.
func orderSimultaneous(events []event, ids map[string]string) []event {
	texts := map[uint64]string{}
	for _, e := range events {
		texts[e.exchange] += normalize(e.String(), ids, false) + "\n"
	}
	slices.SortStableFunc(events, func(a, b event) int {
		return cmp.Or(strings.Compare(a.process, b.process), strings.Compare(texts[a.exchange], texts[b.exchange]),
			cmp.Compare(a.exchange, b.exchange))
	})
	merged := events[:0]
	for _, e := range events {
		if n := len(merged); n > 0 && e.continues(merged[n-1]) {
			merged[n-1].parts += e.parts
			continue
		}
		merged = append(merged, e)
	}
	return merged
}

// normalize replaces the parts of a text that differ between runs: ids, tickets
// and times. With assign, an id that is not in ids gets the next number.
func normalize(text string, ids map[string]string, assign bool) string {
	text = patternID.ReplaceAllStringFunc(text, func(id string) string {
		if ids[id] == "" && assign {
			ids[id] = fmt.Sprintf("id-%d", len(ids)+1)
		}
		return cmp.Or(ids[id], "id")
	})
	text = patternTicket.ReplaceAllString(text, "${1}T")
	return patternTime.ReplaceAllString(text, `"time":"T"`)
}

// maxMessageBytes bounds the text of a message in the transcript.
const maxMessageBytes = 300

func truncate(s string) string {
	if len(s) > maxMessageBytes {
		s = s[:maxMessageBytes] + "..."
	}
	return s
}

// singleLine returns a body as text on one line.
func singleLine(b []byte) string {
	return strings.ReplaceAll(strings.TrimSpace(string(b)), "\n", "\\n")
}

// decodeValues decodes the base64 keys and values in a body of the key-value service.
func decodeValues(b []byte) []byte {
	return patternBase64.ReplaceAllFunc(b, func(m []byte) []byte {
		parts := patternBase64.FindSubmatch(m)
		text, err := base64.StdEncoding.DecodeString(string(parts[2]))
		if err != nil {
			return m
		}
		return fmt.Appendf(nil, `"%s":'%s'`, parts[1], bytes.ReplaceAll(text, []byte{0}, []byte(`\0`)))
	})
}

// handler wraps an HTTP handler and records its requests and responses. A nil
// recorder returns h.
func (r *Recorder) handler(name string, h http.Handler) http.Handler {
	if r == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		req.Body = io.NopCloser(bytes.NewReader(body))
		line := fmt.Sprintf("%s %s", req.Method, req.URL.RequestURI())
		x := r.newExchange(name)
		x.record("<- %s %s", line, singleLine(decodeValues(body)))
		rw := &recordingWriter{ResponseWriter: w, exchange: x, line: line}
		defer func() {
			if p := recover(); p != nil {
				x.record("-> %s connection dropped", line)
				panic(p)
			}
		}()
		h.ServeHTTP(rw, req)
	})
}

// recordingWriter records the response it writes.
type recordingWriter struct {
	http.ResponseWriter
	exchange *exchange
	line     string
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *recordingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *recordingWriter) WriteHeader(status int) {
	w.exchange.record("-> %s %d", w.line, status)
	w.ResponseWriter.WriteHeader(status)
}

func (w *recordingWriter) Write(b []byte) (int, error) {
	w.exchange.record("-> %s %s", w.line, singleLine(decodeValues(b)))
	return w.ResponseWriter.Write(b)
}

// streamInterceptor records the messages of an agent's gRPC streams.
func (r *Recorder) streamInterceptor(name string) grpc.StreamServerInterceptor {
	return func(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
		if r == nil {
			return handler(srv, ss)
		}
		return handler(srv, &recordingStream{ss, r.newExchange(name)})
	}
}

// unaryInterceptor records the unary gRPC calls to an agent.
func (r *Recorder) unaryInterceptor(name string) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
		if r == nil {
			return handler(ctx, req)
		}
		method := path.Base(info.FullMethod)
		x := r.newExchange(name)
		x.record("<- %s %s", method, describeUnary(req))
		reply, err := handler(ctx, req)
		x.record("-> %s %s", method, describeUnary(reply))
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

// recordingStream records the messages it sends and receives.
type recordingStream struct {
	grpc.ServerStream
	exchange *exchange
}

func (s *recordingStream) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)
	if up, ok := m.(*pb.Up); ok && err == nil {
		s.exchange.record("<- %s", describeUp(up))
	}
	return err
}

func (s *recordingStream) SendMsg(m any) error {
	if st, ok := m.(*pb.AgentState); ok {
		s.exchange.record("-> Watch leaving=%t", st.Leaving)
	}
	if down, ok := m.(*pb.Down); ok && down.GetChunk() != nil {
		s.exchange.recordChunk(down, down.GetChunk())
	} else if ok {
		s.exchange.record("-> %s %s", down.AttemptId, describeDown(down))
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
