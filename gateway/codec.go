// Package gateway forwards callers' HTTP requests to endpoints directly, without
// an agent. It authenticates the client account, chooses the endpoint, counts each
// send of a request against its limits, and returns the endpoint's response
// unchanged.
package gateway

import (
	"net/http"
	"time"
)

// PromptPart is a part of a prompt. Prompts that begin with the same parts share a
// cacheable prefix.
type PromptPart struct {
	// ID identifies the part's text.
	ID string
	// Tokens is the length of the part in tokens.
	Tokens int64
}

// RequestInfo holds the values decoded from a caller's request headers.
type RequestInfo struct {
	// ID identifies this request; a caller's retry has another id.
	ID         string
	Credential string
	// Timeout is how long the caller waits for the response, 0 when not given.
	Timeout time.Duration
	// Model is empty for requests to plain services.
	Model string
	// PromptTokens is the prompt's length in tokens, OutputTokens the bound on generated
	// tokens.
	PromptTokens int64
	OutputTokens int64
	PromptParts  []PromptPart
	// LastEventID is the id of the last stream event that the caller has received.
	LastEventID string
}

// SendInfo holds the values encoded into the headers of one send of a request.
type SendInfo struct {
	// Endpoint is the id that the receiver is expected to have.
	Endpoint string
	Account  string
	// CacheSalt separates cached prompts; empty for requests to plain services.
	CacheSalt string
	// WeightsVersion is the required version of the receiver's weights, 0 for any.
	WeightsVersion int64
	// CacheSource is the address of an endpoint from which the receiver may fetch
	// cached parts of the prompt; empty for none.
	CacheSource string
	// Priority is 0 for the most urgent requests and negative for requests without one.
	Priority int
	// Timeout is the time left for the response.
	Timeout time.Duration
	// LastEventID is the id of the event after which a stream continues.
	LastEventID string
}

// Load is an endpoint's load at the time of a response.
type Load struct {
	// Running and Queued are numbers of requests. Slots is the maximum number of
	// concurrently running requests, 0 when unknown.
	Running int64
	Queued  int64
	Slots   int64
	// SlowdownPercent is the duration of work relative to normal operation; 100 is normal.
	SlowdownPercent int64
}

// ResponseInfo holds the values decoded from the status and headers of an
// endpoint's response.
type ResponseInfo struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// Stamped is true when the response carries the endpoint's stamp.
	Stamped bool
	// NotRun is true when the endpoint states that it did not run the request.
	NotRun bool
	// Leaving is true when the endpoint states that it is about to leave.
	Leaving bool
	// Pause is the time for which the endpoint wants no requests from this process, 0
	// when it asks for none.
	Pause time.Duration
	// RateLimit is the number of requests a second that the endpoint takes from all
	// gateways together, math.Inf(1) for any number. HasRateLimit is false if the response
	// tells nothing of it.
	RateLimit    float64
	HasRateLimit bool
	// WeightsVersion is the version of the loaded weights, 0 when unknown.
	WeightsVersion int64
	Load           Load
	HasLoad        bool
}

// Codec translates between HTTP headers and the gateway's types.
type Codec interface {
	// DecodeRequest decodes a caller's headers and removes from h those that must
	// not be forwarded. After an error, RequestInfo holds the values decoded so far.
	DecodeRequest(h http.Header) (RequestInfo, error)
	// EncodeRequest sets the headers that an endpoint requires.
	EncodeRequest(h http.Header, s SendInfo)
	// SetRequestID sets the request's id in the headers of a response to a caller.
	SetRequestID(h http.Header, id string)
	// DecodeResponse decodes the status and headers of an endpoint's response.
	DecodeResponse(status int, h http.Header) ResponseInfo
}
