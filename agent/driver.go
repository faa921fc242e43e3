package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/citrontiller/citrontiller/blocks"
	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/infra"
	"github.com/citrontiller/citrontiller/kernel"
	"github.com/citrontiller/citrontiller/stream"
)

// Endpoint is one engine or plain service on the agent's host.
type Endpoint struct {
	ID      string
	Service string
	Kind    infra.Kind
	// Address is "ip:port".
	Address string
}

// Request is a request to an endpoint.
type Request struct {
	// ID is sent to the endpoint as X-Request-Id.
	ID         string
	Method     string
	Path       string
	Headers    []stream.Header
	Body       []byte
	Stream     bool
	Idempotent bool
	// Priority is sent to engines; lower values run first.
	Priority int
	// CacheSalt isolates entries of the engine's prefix cache; empty for plain
	// services.
	CacheSalt string
}

// Sink receives a response. Both methods block while the reader is slow and
// return an error when the response is no longer needed.
type Sink interface {
	Head(ctx context.Context, h stream.Head) error
	// Data takes ownership of b.
	Data(ctx context.Context, b []byte) error
}

// Load is a load report of an engine. It lags behind the engine's actual state.
type Load struct {
	// Running and Waiting count the requests that the engine runs and has queued.
	Running int64
	Waiting int64
	// CacheUsage is the share of cache memory in use, 0 to 1.
	CacheUsage float64
	// Model and Version are the loaded model and the version of its weights.
	Model   string
	Version string
	// BootID changes when the engine restarts with an empty cache.
	BootID string
	// Loading is true while the engine loads weights.
	Loading bool
	// At is when the report was received.
	At time.Time
}

// CacheEventType is the type of a change to cached blocks.
type CacheEventType string

// Types of cache events.
const (
	BlocksStored  CacheEventType = "stored"
	BlocksRemoved CacheEventType = "removed"
	CacheCleared  CacheEventType = "cleared"
)

// Block is one cached block in an event.
type Block = blocks.Block

// CacheEvent is one event of an engine's event stream. Sequence numbers are
// consecutive; a gap means that events were lost.
type CacheEvent struct {
	Seq    uint64
	BootID string
	Type   CacheEventType
	Blocks []Block
	// RequestID is the id of the request that stored the blocks; empty if unknown.
	RequestID string
}

// Order instructs an engine to switch to the given state. It describes the
// complete state, not a change.
type Order struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
	// Fence is the fencing token of the controller's lease.
	Fence int64
}

// Driver implements an endpoint's protocol. Errors are of type *DriverError.
type Driver interface {
	// Do sends the request and passes the response to the sink. The error has
	// call.NotRun only if no byte of the request was written.
	Do(ctx context.Context, ep Endpoint, req *Request, sink Sink) error
	// Load reads the endpoint's load report.
	Load(ctx context.Context, ep Endpoint) (Load, error)
	// Events calls f for each cache event after sequence number from, until the
	// stream or ctx ends.
	Events(ctx context.Context, ep Endpoint, from uint64, f func(CacheEvent)) error
	// Order sends an order to the engine.
	Order(ctx context.Context, ep Endpoint, o Order) error
}

// Codes of driver errors.
const (
	// CodeConnect means that no connection could be opened.
	CodeConnect = "endpoint_unreachable"
	// CodeBroken means that the connection broke after the request was sent.
	CodeBroken = "endpoint_connection_lost"
	// CodeTruncated means that the response ended before it was complete.
	CodeTruncated = "response_truncated"
	// CodeCancelled means that the caller cancelled the request.
	CodeCancelled = "cancelled"
	// CodeProtocol means that the endpoint sent a malformed response.
	CodeProtocol = "endpoint_protocol_error"
	// CodeUnsupported means that the endpoint's kind does not support the operation.
	CodeUnsupported = "unsupported"
)

// DriverError is an error of an endpoint or of the connection to it.
type DriverError struct {
	Code string
	// Run is whether the endpoint ran the request.
	Run call.Run
	Err error
}

func (e *DriverError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Code, e.Run)
	}
	return fmt.Sprintf("%s (%s): %v", e.Code, e.Run, e.Err)
}

// Unwrap returns the cause.
func (e *DriverError) Unwrap() error { return e.Err }

// LoadDriver loads the driver plug-in for the endpoint's kind. The plug-in must
// be linked into the binary. The error is a *kernel.Error.
func LoadDriver(ctx context.Context, ep Endpoint, s kernel.Settings) (Driver, error) {
	id := "endpoint.openai"
	if ep.Kind == infra.Plain {
		id = "endpoint.plain"
	}
	s.Address = ep.Address
	return kernel.Load[Driver](ctx, id, s)
}
