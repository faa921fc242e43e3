package main

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/citrontiller/citrontiller/wire/pb"
)

// ackInterval is the least time between acknowledgements of a stream.
const ackInterval = 100 * time.Millisecond

// promptBytes is the size of a request's prompt in bytes.
const promptBytes = 8 << 10

// loadGenerator sends requests to the agent as an entry does.
type loadGenerator struct {
	client pb.AgentClient
	// ticket is the agent's latest ticket, in milliseconds; each Open carries it.
	ticket      atomic.Int64
	incarnation string
	requests    atomic.Int64
	failed      atomic.Int64
	tokens      atomic.Int64
}

func newLoadGenerator(address string) (*loadGenerator, error) {
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	l := &loadGenerator{client: pb.NewAgentClient(conn)}
	w, err := l.client.Watch(context.Background(), &pb.WatchRequest{})
	if err != nil {
		return nil, err
	}
	st, err := w.Recv()
	if err != nil {
		return nil, err
	}
	l.incarnation = st.Incarnation
	l.ticket.Store(st.TicketMs)
	return l, nil
}

// run sends requestsPerSec requests per second for d and returns the number of
// tokens received.
func (l *loadGenerator) run(d time.Duration) int {
	// ctx has no deadline, because gRPC would propagate it to the agent, which could
	// end streams just before ctx ends; these would count as failures.
	ctx, cancel := context.WithCancel(context.Background())
	defer time.AfterFunc(d, cancel).Stop()
	t := time.NewTicker(time.Second / requestsPerSec)
	defer t.Stop()
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() { l.sendRequest(ctx, fmt.Sprintf("e%d", i%engines)) })
		<-t.C
	}
	wg.Wait()
	return int(l.tokens.Load())
}

// sendRequest runs one request and counts its tokens.
func (l *loadGenerator) sendRequest(ctx context.Context, endpoint string) {
	l.requests.Add(1)
	s, err := l.client.Run(ctx)
	if err != nil {
		return
	}
	body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("x", promptBytes) + `"}]}`
	err = s.Send(&pb.Up{Kind: &pb.Up_Open{Open: &pb.Open{RequestId: uuid.NewString(), AttemptId: uuid.NewString(), EndpointId: endpoint,
		Incarnation: l.incarnation, TicketMs: l.ticket.Load(), Service: "llm", Account: "a", Idempotent: true, Stream: true, CacheSalt: "s",
		Http: &pb.HttpRequest{Method: "POST", Path: "/v1/chat/completions", Body: []byte(body)}}}})
	acked := time.Now()
	for err == nil {
		var d *pb.Down
		if d, err = s.Recv(); err != nil {
			break
		}
		switch k := d.Kind.(type) {
		case *pb.Down_Progress:
			l.ticket.Store(k.Progress.TicketMs)
		case *pb.Down_Refused:
			l.recordFailure("refused " + k.Refused.Message)
			return
		case *pb.Down_End:
			return
		case *pb.Down_Chunk:
			for _, p := range k.Chunk.Parts {
				l.tokens.Add(int64(bytes.Count(p.GetData(), []byte("data: "))))
			}
			if time.Since(acked) > ackInterval {
				acked = time.Now()
				// Recv returns the error of the stream, after the End if there is one.
				_ = s.Send(&pb.Up{Kind: &pb.Up_Ack{Ack: &pb.Ack{Seq: k.Chunk.Seq + uint64(len(k.Chunk.Parts)) - 1}}})
			}
		}
	}
	if ctx.Err() == nil {
		l.recordFailure(err.Error())
	}
}

// recordFailure counts a failure and prints the first one.
func (l *loadGenerator) recordFailure(reason string) {
	if l.failed.Add(1) == 1 {
		fmt.Println("first failure:", reason)
	}
}
