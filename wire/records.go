package wire

import (
	"context"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// Offer announces a configuration generation to the agent. It returns the agent's own
// generation and whether the agent needs the record. The error is an *Error.
func (l *Link) Offer(ctx context.Context, service string, generation int64, digest string) (held int64, need bool, err error) {
	err = l.unary(ctx, func(c pb.AgentClient) error {
		r, err := c.Offer(ctx, &pb.OfferRequest{Service: service, Generation: generation, Digest: digest})
		held, need = r.GetGeneration(), r.GetNeed()
		return err
	})
	return held, need, err
}

// Put sends a record to the agent. refused is the reason why the agent refused it;
// empty if the agent accepted it or already has the same or a later generation. The
// error is an *Error.
func (l *Link) Put(ctx context.Context, service string, record []byte) (refused string, err error) {
	err = l.unary(ctx, func(c pb.AgentClient) error {
		r, err := c.Put(ctx, &pb.PutRequest{Service: service, Record: record})
		refused = r.GetError()
		return err
	})
	return refused, err
}

// Records returns the configuration records that the agent holds. The error is an
// *Error.
func (l *Link) Records(ctx context.Context) (records [][]byte, err error) {
	err = l.unary(ctx, func(c pb.AgentClient) error {
		r, err := c.Records(ctx, &pb.RecordsRequest{})
		records = r.GetRecords()
		return err
	})
	return records, err
}

// unary runs one RPC. If ctx ends before the agent responds, the connection is
// replaced, so that the caller's next attempt uses a new one.
func (l *Link) unary(ctx context.Context, f func(pb.AgentClient) error) error {
	c := l.acquire()
	defer l.release(c)
	err := f(pb.NewAgentClient(c.cc))
	if err == nil {
		return nil
	}
	if ctx.Err() != nil {
		l.replace(c)
	}
	return &Error{Code: CodeUnreachable, Run: call.NotRun, Err: err}
}
