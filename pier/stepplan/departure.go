package stepplan

import "time"

const (
	// departureTime is how long before its server ends a sample leaves it that will not end in time. It covers
	// that the notice was read late, and the interval between two looks at the samples.
	departureTime = time.Second
	// departureMargin is how long before its server ends a sample has to end for it to stay.
	departureMargin = 400 * time.Millisecond
)

// LeavingRun is a sample that runs on a server that will be taken away.
type LeavingRun struct {
	// Left is the time until the server ends.
	Left time.Duration
	// Tokens is the number of tokens generated so far, Expected that of the whole sample; 0 if unknown.
	Tokens, Expected int
	// Longest is the number of tokens of the longest sample of the step, as far as known.
	Longest int
	// TokenTime is the measured time of a token on the server; 0 if unknown.
	TokenTime time.Duration
}

// MustLeave reports whether the sample should continue on another server from now on.
func (r LeavingRun) MustLeave() bool { return r.Left <= departureTime && !r.endsInTime() }

// endsInTime reports whether the sample is expected to end while the server lasts. One that is longer than expected
// may be as long as the longest.
func (r LeavingRun) endsInTime() bool {
	n := r.Expected
	if n <= r.Tokens {
		n = r.Longest
	}
	if n <= r.Tokens || r.TokenTime <= 0 {
		return false
	}
	return time.Duration(n-r.Tokens)*r.TokenTime <= r.Left-departureMargin
}
