// Package provider defines the calls to the infrastructure provider's API that one host at a time makes on
// behalf of all hosts.
package provider

import "context"

// Holder identifies the host that makes a call.
type Holder struct {
	// Host is the name of the host, Fence its fencing token, which grows with each change of the holder.
	Host  string
	Fence int64
	// Check returns an error from the time on at which the call must not be sent any more. It is called
	// right before the call is sent; nil if there is no such time.
	Check func() error
}

// UsageReport is the number of requests of each organisation that servers began to run in a window.
type UsageReport struct {
	// Window is the number of the window since the start of 1970.
	Window int64            `msgpack:"w"`
	Counts map[string]int64 `msgpack:"c"`
}

// Target is the number of servers of one kind that a service should have in a failure domain.
type Target struct {
	Service string `msgpack:"s"`
	Domain  string `msgpack:"d"`
	Servers int    `msgpack:"n"`
	// Reclaimable selects servers that cost less and that the provider may take away at short notice.
	Reclaimable bool `msgpack:"r"`
}

// API holds the calls. A field is nil if the deployment does not have that duty. Errors are of type
// *outcome.Error: outcome not-run with ReasonTooManyRequests if the provider limits the rate, with
// ReasonConflict if no such servers are available, and an ambiguous outcome if the call may have been made.
type API struct {
	ReportUsage func(ctx context.Context, h Holder, r UsageReport) error
	SetTarget   func(ctx context.Context, h Holder, t Target) error
}
