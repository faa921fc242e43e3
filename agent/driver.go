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

// Request is a call to an endpoint.
type Request struct {
	// ID is sent to the endpoint as X-Request-Id.
	ID         string
	Method     string
	Path       string
	Headers    []stream.Header
	Body       []byte
	Stream     bool
	Idempotent bool
	// Priority is sent to engines; lower runs first.
	Priority int
	// CacheSalt scopes the engine's prefix cache; empty for plain services.
	CacheSalt string
}

// Sink receives a response. Both methods block while the reader is slow and
// return an error when the response is no longer wanted.
type Sink interface {
	Head(ctx context.Context, h stream.Head) error
	// Data takes ownership of b.
	Data(ctx context.Context, b []byte) error
}

// Load is an engine's own report, which lags behind the truth.
type Load struct {
	Running int64
	Waiting int64
	// CacheUsage is the share of cache memory in use, 0 to 1.
	CacheUsage float64
	// Model and Version are what the engine has loaded.
	Model   string
	Version string
	// BootID changes when the engine restarts with an empty cache.
	BootID string
	// Loading is true while the engine loads weights.
	Loading bool
	At      time.Time
}

// CacheEventType says what happened to cached blocks.
type CacheEventType string

// Types of cache events.
const (
	BlocksStored  CacheEventType = "stored"
	BlocksRemoved CacheEventType = "removed"
	CacheCleared  CacheEventType = "cleared"
)

// Block is one cached block in an event.
type Block = blocks.Block

// CacheEvent is one entry of an engine's event stream. Sequence numbers are
// consecutive; a jump means lost events.
type CacheEvent struct {
	Seq    uint64
	BootID string
	Type   CacheEventType
	Blocks []Block
	// RequestID is the request that stored the blocks; empty when unknown.
	RequestID string
}

// Order is an absolute instruction to an engine.
type Order struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
	// Fence is the fencing number of the controller's lease.
	Fence int64
}

// Driver speaks an endpoint's protocol. Errors are *DriverError.
type Driver interface {
	// Do sends the request and passes the response to the sink. The error says
	// NotRun only when not a single byte of the request was written.
	Do(ctx context.Context, ep Endpoint, req *Request, sink Sink) error
	// Load reads the endpoint's load report.
	Load(ctx context.Context, ep Endpoint) (Load, error)
	// Events calls f for each cache event after sequence number from, until the
	// stream ends or ctx does.
	Events(ctx context.Context, ep Endpoint, from uint64, f func(CacheEvent)) error
	// Order passes an order to the engine.
	Order(ctx context.Context, ep Endpoint, o Order) error
}

// Codes of driver errors.
const (
	// CodeConnect means no connection could be opened.
	CodeConnect = "endpoint_unreachable"
	// CodeBroken means the connection broke after the request was sent.
	CodeBroken = "endpoint_connection_lost"
	// CodeTruncated means the response ended before it was complete.
	CodeTruncated = "response_truncated"
	// CodeCancelled means the caller no longer wants the response.
	CodeCancelled = "cancelled"
	// CodeProtocol means the endpoint answered with something malformed.
	CodeProtocol = "endpoint_protocol_error"
	// CodeUnsupported means the endpoint kind has no such operation.
	CodeUnsupported = "unsupported"
)

// DriverError is an error of an endpoint or of the connection to it.
type DriverError struct {
	Code string
	Run  call.Run
	Err  error
}

func (e *DriverError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Code, e.Run)
	}
	return fmt.Sprintf("%s (%s): %v", e.Code, e.Run, e.Err)
}

// Unwrap returns the cause.
func (e *DriverError) Unwrap() error { return e.Err }

// LoadDriver loads the driver for an endpoint's kind. The process links the
// plug-ins in.
func LoadDriver(ctx context.Context, ep Endpoint, s kernel.Settings) (Driver, error) {
	id := "endpoint.openai"
	if ep.Kind == infra.Plain {
		id = "endpoint.plain"
	}
	s.Address = ep.Address
	return kernel.Load[Driver](ctx, id, s)
}
