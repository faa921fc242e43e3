// Package gateway forwards callers' HTTP requests to endpoints without an agent
// in between: it checks the account, chooses the endpoint, accounts for each
// send of a request, and returns the endpoint's answer unchanged.
package gateway

import (
	"net/http"
	"time"
)

// Part is a section of a prompt that other prompts may begin with too.
type PromptPart struct {
	// ID names the section's text.
	ID     string
	Tokens int64
}

// Call is what a caller's headers say.
type RequestInfo struct {
	// ID names this try of the caller; a repeated one has another id.
	ID         string
	Credential string
	// Deadline is how long the caller waits, 0 when it didn't say.
	Timeout time.Duration
	// Model is empty for requests to plain services.
	Model string
	// PromptTokens is the prompt's length, OutputTokens the most that may be generated.
	PromptTokens int64
	OutputTokens int64
	PromptParts  []PromptPart
	// LastEvent is the last event that the caller has received of a stream.
	LastEventID string
}

// Send is what an endpoint must know of one send of a request.
type SendInfo struct {
	// Endpoint is the id that the receiver must have.
	Endpoint string
	Account  string
	// Salt separates cached prompts; empty for the part shared by all.
	CacheSalt string
	// Weights is the version that the receiver's weights must have, 0 for any.
	WeightsVersion int64
	// Fetch is the address of an endpoint that holds more of the prompt's cached
	// parts; empty for none.
	CacheSource string
	// Priority is 0 for the most urgent; negative when the route has none.
	Priority int
	// Deadline is the time left for the answer.
	Timeout time.Duration
	// LastEvent is the event after which a stream goes on.
	LastEventID string
}

// Load is an endpoint's load when it answered.
type Load struct {
	Running int64
	Queued  int64
	Slots   int64
	// SlowdownPercent is how long work takes now; 100 is usual.
	SlowdownPercent int64
}

// Answer is what the head of an endpoint's answer says.
type ResponseInfo struct {
	// RequestID is the id of the request that the answer belongs to.
	RequestID string
	// Stamped is true when the endpoint signed the answer.
	Stamped bool
	// NotRun is true when the endpoint states that it did not run the request.
	NotRun bool
	// Weights is the version of the weights in use, 0 when unknown.
	WeightsVersion int64
	Load           Load
	HasLoad        bool
}

// Codec translates headers.
type Codec interface {
	// Decode reads a caller's headers and removes what must not be passed on.
	DecodeRequest(h http.Header) (RequestInfo, error)
	// Encode adds what an endpoint must know.
	EncodeRequest(h http.Header, s SendInfo)
	// Echo sets the id of the request that an answer to a caller belongs to.
	SetRequestID(h http.Header, id string)
	// Answer reads the head of an endpoint's answer.
	DecodeResponse(status int, h http.Header) ResponseInfo
}
