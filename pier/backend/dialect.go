// Package backend is an HTTP/1.1 client for backend servers. It sends one request at a time
// on a connection, and reuses only connections whose state is known.
//
// It does nothing that the caller did not ask for: it neither retries nor follows
// redirects, and adds no header fields beyond those that HTTP requires. Method, target and
// body are sent unchanged.
package backend

// Dialect holds the names of the header fields that a deployment's backend servers use.
type Dialect struct {
	// RequestID carries the id of the request, which the answer must repeat.
	RequestID string
	// Deadline carries the time that the caller will wait, in milliseconds.
	Deadline string
	// ExpectedIncarnation carries the id of the incarnation that the request is meant
	// for; any other one refuses it.
	ExpectedIncarnation string
	// NotRun is present in an answer if the request was not executed.
	NotRun string
	// ServerStamp is present in every answer that comes from a server itself.
	ServerStamp string
	// Leaving is present in every answer of a server that is shutting down.
	Leaving string
	// Limit is present in every answer of a server that limits its requests, and carries the
	// number of requests a second that it takes from all callers together.
	Limit string
	// Load carries the numbers of running requests, waiting requests and slots, and optionally
	// the time that work takes now in percent of the normal time, separated by commas.
	Load string
	// WeightVersion carries the version of the weights that generated the answer.
	WeightVersion string
	// EventVersion is the name of the field of an event that states a new version of the
	// weights.
	EventVersion string
	// LengthHint carries the caller's estimate of the number of tokens to generate.
	LengthHint string
	// TokenCounts carries, in a request, the number of tokens of its prompt and the maximum number of
	// tokens to generate, separated by a comma.
	TokenCounts string
	// ResumeAfter carries the id of the last event that the caller received.
	ResumeAfter string
	// Resumes carries, in a caller's request that continues a stream, the id of the request
	// that brought its first event.
	Resumes string
	// Organisation carries the name of the organisation that makes the request.
	Organisation string
	// Priority carries the priority of the request; 0 is the highest.
	Priority string
}
