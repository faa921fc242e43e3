package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/citrontiller/citrontiller/call"
)

// Error codes returned to callers.
const (
	CodeInvalidRequest  = "invalid_request"
	CodeInvalidKey      = "invalid_api_key"
	CodeModelNotFound   = "model_not_found"
	CodeNotFound        = "not_found"
	CodeBodyTooLarge    = "body_too_large"
	CodeBodyTimeout     = "body_timeout"
	CodeOverloaded      = "overloaded"
	CodeNoEndpoint      = "no_endpoint"
	CodeEndpointFailed  = "endpoint_failed"
	CodeOutcomeUnknown  = "outcome_unknown"
	CodeKeyReused       = "idempotency_key_reused"
	CodeStoreDown       = "store_unavailable"
	CodeNotReady        = "not_ready"
	CodeDeadline        = "deadline_exceeded"
	CodeStreamBroken    = "stream_broken"
	CodeTooManyRequests = "too_many_requests"
	// CodeResultUnavailable means that the request ran but its response was not
	// retained.
	CodeResultUnavailable = "result_unavailable"
)

// Error is an error as returned to the caller.
type Error struct {
	// Status is the HTTP status.
	Status  int
	Code    string
	Message string
	// Run reports whether an endpoint ran the request.
	Run call.Run
	// RequestID is set when the error is written.
	RequestID string
	// RetryAfter is sent in the Retry-After header, rounded up to seconds; 0
	// omits the header.
	RetryAfter time.Duration
	// Err is the cause. It is not sent to the caller.
	Err error

	// noRetry prevents a retry at another endpoint.
	noRetry bool
}

func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s): %s", e.Code, e.Run, e.Message)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Message   string   `json:"message"`
	Type      string   `json:"type"`
	Code      string   `json:"code"`
	Run       call.Run `json:"run"`
	RequestID string   `json:"request_id"`
}

// body returns the error as JSON in the format of the OpenAI API.
func (e *Error) body() []byte {
	kind := "invalid_request_error"
	if e.Status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	b, err := json.Marshal(errorBody{errorFields{e.Message, kind, e.Code, e.Run, e.RequestID}})
	if err != nil {
		return []byte(`{"error":{}}`)
	}
	return b
}

// asError returns err if it is an *Error, and else an internal error that wraps
// it.
func asError(err error) *Error {
	if e, ok := err.(*Error); ok {
		return e
	}
	return &Error{Status: http.StatusInternalServerError, Code: CodeEndpointFailed, Message: "internal error", Run: call.Unknown, Err: err}
}

func writeError(ctx context.Context, w http.ResponseWriter, err error) {
	e := asError(err)
	if e.RequestID == "" {
		e.RequestID = requestID(ctx)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", e.RequestID)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((e.RetryAfter+time.Second-1)/time.Second), 10))
	}
	w.WriteHeader(e.Status)
	_, _ = w.Write(e.body())
}
