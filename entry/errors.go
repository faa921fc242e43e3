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

// Codes of errors that callers see.
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
	// CodeResultUnavailable means the request ran and its response is not kept.
	CodeResultUnavailable = "result_unavailable"
)

// Error is an error as the caller sees it.
type Error struct {
	// Status is the HTTP status.
	Status  int
	Code    string
	Message string
	// Run says whether an endpoint ran the request.
	Run call.Run
	// RequestID is filled in by the API.
	RequestID string
	// RetryAfter is sent in whole seconds; zero means no advice.
	RetryAfter time.Duration
	Err        error

	// ended errors are not followed by a try at another endpoint.
	ended bool
}

func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s): %s", e.Code, e.Run, e.Message)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
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

// body returns the error in the OpenAI format.
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

// asError converts any error of a layer below.
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
