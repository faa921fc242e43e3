// Package call defines the run status and the states of a request's attempts, the
// agent's table of attempts, and idempotency claims. With them a non-idempotent
// request runs at most once.
package call

// Run states whether an endpoint ran a request.
type Run string

// Values of Run.
const (
	// NotRun means the endpoint has not received the request and never will.
	NotRun Run = "not_run"
	// Ran means the endpoint responded to the request.
	Ran Run = "ran"
	// Unknown means the endpoint may have run the request.
	Unknown Run = "unknown"
)

// State is the state of an attempt in the agent's table.
type State int

// States of an attempt. An attempt moves only forward: from Queued to
// Dispatched to Finished, or from Absent or Queued to Revoked.
const (
	// Absent means the table has no record of the attempt.
	Absent State = iota
	// Queued means the attempt waits for a slot and can still be revoked.
	Queued
	// Dispatched means the attempt was handed to the endpoint.
	Dispatched
	// Finished means the endpoint's response is complete or has failed.
	Finished
	// Revoked means the attempt will never be dispatched.
	Revoked
)

func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case Dispatched:
		return "dispatched"
	case Finished:
		return "finished"
	case Revoked:
		return "revoked"
	default:
		return "absent"
	}
}
