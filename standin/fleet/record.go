package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
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
}

type recorded struct {
	at   time.Duration
	who  string
	text string
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

func (r *Recorder) note(who, format string, args ...any) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, recorded{at: time.Since(r.start), who: who, text: fmt.Sprintf(format, args...)})
}

func (r *Recorder) noteChunk(who string, d *pb.Down, c *pb.Chunk) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, recorded{at: time.Since(r.start), who: who, attempt: d.AttemptId, seq: c.Seq, parts: len(c.Parts)})
}

// Reset drops what was noted and restarts the time.
func (r *Recorder) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.start, r.events = time.Now(), nil
}

var (
	patternID     = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	patternTicket = regexp.MustCompile(`ticket=[0-9]+`)
	patternTime   = regexp.MustCompile(`"time":"[^"]*"`)
)

// Session returns the messages in order of time; messages of the same instant
// are ordered by process. Random ids are replaced by numbered ones.
func (r *Recorder) Session() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := slices.Clone(r.events)
	slices.SortStableFunc(events, func(a, b recorded) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return strings.Compare(a.who, b.who)
	})
	joined := events[:0]
	for _, e := range events {
		if n := len(joined); n > 0 && e.joins(joined[n-1]) {
			joined[n-1].parts += e.parts
			continue
		}
		joined = append(joined, e)
	}
	ids := map[string]string{}
	var out bytes.Buffer
	for _, e := range joined {
		text := patternID.ReplaceAllStringFunc(e.String(), func(id string) string {
			if ids[id] == "" {
				ids[id] = fmt.Sprintf("id-%d", len(ids)+1)
			}
			return ids[id]
		})
		text = patternTicket.ReplaceAllString(text, "ticket=T")
		text = patternTime.ReplaceAllString(text, `"time":"T"`)
		fmt.Fprintf(&out, "%12s %-8s %s\n", e.at, e.who, text)
	}
	return out.Bytes()
}

// maxNoted bounds the body bytes in one line.
const maxNoted = 240

func clip(b []byte) string {
	s := strings.ReplaceAll(strings.TrimSpace(string(b)), "\n", "\\n")
	if len(s) > maxNoted {
		s = s[:maxNoted] + "..."
	}
	return s
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
		r.note(name, "<- %s %s", line, clip(body))
		nw := &notingWriter{ResponseWriter: w, recorder: r, name: name, line: line}
		defer func() {
			if p := recover(); p != nil {
				r.note(name, "-> %s connection dropped", line)
				panic(p)
			}
		}()
		h.ServeHTTP(nw, req)
	})
}

type notingWriter struct {
	http.ResponseWriter
	recorder *Recorder
	name     string
	line     string
}

// Unwrap lets http.ResponseController reach the writer.
func (w *notingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *notingWriter) WriteHeader(status int) {
	w.recorder.note(w.name, "-> %s %d", w.line, status)
	w.ResponseWriter.WriteHeader(status)
}

func (w *notingWriter) Write(b []byte) (int, error) {
	w.recorder.note(w.name, "-> %s %s", w.line, clip(b))
	return w.ResponseWriter.Write(b)
}

// interceptor notes the messages of an agent's gRPC streams.
func (r *Recorder) interceptor(name string) grpc.StreamServerInterceptor {
	return func(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
		if r == nil {
			return handler(srv, ss)
		}
		return handler(srv, &notingStream{ServerStream: ss, recorder: r, name: name})
	}
}

type notingStream struct {
	grpc.ServerStream
	recorder *Recorder
	name     string
}

func (s *notingStream) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)
	if up, ok := m.(*pb.Up); ok && err == nil {
		s.recorder.note(s.name, "<- %s", describeUp(up))
	}
	return err
}

func (s *notingStream) SendMsg(m any) error {
	if down, ok := m.(*pb.Down); ok && down.GetChunk() != nil {
		s.recorder.noteChunk(s.name, down, down.GetChunk())
	} else if ok {
		s.recorder.note(s.name, "-> %s %s", down.AttemptId, describeDown(down))
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
		return "Accepted"
	case *pb.Down_Refused:
		return fmt.Sprintf("Refused code=%s run=%s", k.Refused.Code, k.Refused.Run)
	case *pb.Down_Progress:
		return fmt.Sprintf("Progress acked=%d", k.Progress.AckedSeq)
	case *pb.Down_End:
		return fmt.Sprintf("End last=%d run=%s error=%q", k.End.LastSeq, k.End.Run, k.End.ErrorCode)
	}
	return "unknown"
}
