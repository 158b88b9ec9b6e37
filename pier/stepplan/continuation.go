package stepplan

import "time"

// Continuation is a text that broke off and that only servers of the software that began it may
// continue.
type Continuation struct {
	// Generated is how long it took to generate the text so far, Waited how long the sample has
	// found no free slot at these servers.
	Generated time.Duration
	Waited    time.Duration
	// Servers is the number of these servers that take new work.
	Servers int
}

// BeginsAnew reports whether the text should be discarded, so that any server may generate it
// from its beginning. A sample waits for as long as it takes to generate the text again: it then
// never takes more than twice as long as with the better choice.
func (c Continuation) BeginsAnew() bool { return c.Servers == 0 || c.Waited >= c.Generated }
