// Package bug reports conditions that the program's own logic rules out.
//
// A report is counted and logged in production, where serving on is better than
// stopping, and panics under test, where a broken invariant must fail the run.
// Every invariant of the brief that is asserted inside the program goes through
// this package, so that one counter tells operators that something is wrong.
package bug

import (
	"fmt"
	"sync/atomic"
	"testing"
)

// Invariant names one asserted property; its text is the metric label.
type Invariant string

// The invariants that the program asserts, one for each promise it makes.
const (
	// TrueVersions holds when each sample's segments cover its tokens exactly.
	TrueVersions Invariant = "true-versions"
	// StalenessBound holds when no delivered sample is over its trainer's bound.
	StalenessBound Invariant = "staleness-bound"
	// ExactlyOnce holds when no slot is put into two different batches.
	ExactlyOnce Invariant = "exactly-once"
	// WholeAnswer holds when an answer carries the id of its own request.
	WholeAnswer Invariant = "whole-answer"
	// TrueNotRun holds when a refused request was never sent.
	TrueNotRun Invariant = "true-not-run"
	// AtMostOnce holds when a claimed key is executed by one claim only.
	AtMostOnce Invariant = "at-most-once"
	// NoWorkWhenLeaving holds when no work is admitted to a leaving server.
	NoWorkWhenLeaving Invariant = "no-work-when-leaving"
	// MonotoneRevision holds when the revision in force never goes back.
	MonotoneRevision Invariant = "monotone-revision"
	// Capacity holds when a server's admitted work stays within its limit.
	Capacity Invariant = "capacity"
	// ChartTransition holds when every state change is in the state chart.
	ChartTransition Invariant = "chart-transition"
	// Codec holds when a message of our own can be encoded.
	Codec Invariant = "codec"
)

var (
	total atomic.Uint64
	sink  atomic.Pointer[func(Invariant, string)]
)

// SetSink installs the function that counts and logs reports in production.
func SetSink(f func(Invariant, string)) { sink.Store(&f) }

// Total returns the number of reports since the process started.
func Total() uint64 { return total.Load() }

// Report records that an invariant does not hold. It panics under test.
func Report(i Invariant, format string, args ...any) {
	total.Add(1)
	s := fmt.Sprintf(format, args...)
	if testing.Testing() {
		panic(fmt.Sprintf("bug: %s: %s", i, s))
	}
	if f := sink.Load(); f != nil {
		(*f)(i, s)
	}
}

// Assert reports the invariant when ok is false and returns ok.
func Assert(ok bool, i Invariant, format string, args ...any) bool {
	if !ok {
		Report(i, format, args...)
	}
	return ok
}
