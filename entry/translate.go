package entry

import (
	"net/http"
	"time"

	"github.com/citrontiller/citrontiller/call"
	"github.com/citrontiller/citrontiller/wire"
	"github.com/citrontiller/citrontiller/wire/pb"
)

// fromWire converts an error of a link or call into an error for the caller.
func fromWire(err error) *Error {
	e := &Error{Status: http.StatusBadGateway, Code: CodeOutcomeUnknown, Message: "contact with the endpoint was lost", Run: call.Unknown, Err: err}
	if we, ok := err.(*wire.Error); ok {
		e.Run = we.Run
	}
	if e.Run == call.NotRun {
		e.Status, e.Code, e.Message, e.RetryAfter = http.StatusServiceUnavailable, CodeNoEndpoint, "the endpoint can't be reached", time.Second
	}
	return e
}

// fromRefusal converts an agent's refusal into an error for the caller.
func fromRefusal(r *pb.Refused) *Error {
	e := &Error{Status: http.StatusServiceUnavailable, Code: CodeNoEndpoint, Message: r.Message, Run: runFromWire(r.Run),
		RetryAfter: time.Duration(max(r.RetryAfterMs, 1000)) * time.Millisecond}
	if r.Code == pb.RefusalCode_REFUSAL_OVERLOADED {
		e.Code = CodeOverloaded
	}
	switch e.Run {
	case call.Ran:
		e.Status, e.Code, e.RetryAfter = http.StatusConflict, CodeResultUnavailable, 0
	case call.Unknown:
		e.Status, e.Code, e.RetryAfter = http.StatusBadGateway, CodeOutcomeUnknown, 0
	}
	return e
}

// fromEnd converts a response that ended with an error code.
func fromEnd(end *pb.End) *Error {
	e := &Error{Status: http.StatusBadGateway, Code: CodeEndpointFailed, Message: end.ErrorCode, Run: runFromWire(end.Run)}
	switch e.Run {
	case call.NotRun:
		e.Status, e.RetryAfter = http.StatusServiceUnavailable, time.Second
	case call.Unknown:
		e.Code = CodeOutcomeUnknown
	}
	return e
}

func runFromWire(r pb.Run) call.Run {
	switch r {
	case pb.Run_RUN_NOT_RUN:
		return call.NotRun
	case pb.Run_RUN_RAN:
		return call.Ran
	default:
		return call.Unknown
	}
}
