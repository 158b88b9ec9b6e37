// Package backend speaks HTTP/1.1 to backend servers, one request at a time on a
// connection, and keeps connections that are known to be sound.
//
// It does nothing on its own: no retry, no redirect, no header that the caller did
// not give. Method, target and body go out byte for byte.
package backend

// Dialect holds the header names by which a fleet of backend servers is spoken to.
type Dialect struct {
	// RequestID carries the request's id and is echoed in the answer.
	RequestID string
	// Deadline carries the milliseconds that the caller will wait.
	Deadline string
	// Incarnation makes any other incarnation than the named one refuse.
	Incarnation string
	// NotRun is present in an answer whose request was not executed.
	NotRun string
	// Signature is present in an answer that a server made.
	Signature string
	// Load carries running, waiting and slots, separated by commas.
	Load string
	// WeightVersion carries the version of the weights that answers.
	WeightVersion string
	// EventVersion is the name of the line with which an event tells a new version.
	EventVersion string
	// LengthHint carries the caller's estimate of the tokens to come.
	LengthHint string
	// ResumeAfter carries the id of the last event that the caller has.
	ResumeAfter string
}
