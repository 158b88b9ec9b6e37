// Package bug reports violations of the program's invariants.
//
// In production a violation is counted and logged, as it is better to keep serving
// than to stop. Under test it panics, so that the test fails. All invariants that
// the program asserts go through this package, so that a single counter tells
// operators that something is wrong.
package bug

import (
	"fmt"
	"sync/atomic"
	"testing"
)

// Invariant is the name of an asserted property. It is also the value of the metric's
// label.
type Invariant string

// The invariants that the program asserts.
const (
	// TrueVersions holds when each sample's segments cover its tokens exactly.
	TrueVersions Invariant = "true-versions"
	// StalenessBound holds when no delivered sample exceeds its trainer's staleness
	// bound.
	StalenessBound Invariant = "staleness-bound"
	// ExactlyOnce holds when only sealed slots are put into a batch, a pull acknowledges only
	// slots of the outstanding batch, and a step has no more results than items. After a
	// resync, a slot whose sample the trainer lacks may be put into another batch.
	ExactlyOnce Invariant = "exactly-once"
	// WholeAnswer holds when an answer carries the ID of its own request.
	WholeAnswer Invariant = "whole-answer"
	// OneSoftware holds when a stream's events come from servers of one software version.
	OneSoftware Invariant = "one-software"
	// TrueNotRun holds when a request with the outcome not-run was never sent.
	TrueNotRun Invariant = "true-not-run"
	// AtMostOnce holds when only one claim of a key is executed.
	AtMostOnce Invariant = "at-most-once"
	// NoWorkWhenLeaving holds when no work is admitted to a leaving server.
	NoWorkWhenLeaving Invariant = "no-work-when-leaving"
	// MonotoneRevision holds when the revision in force never decreases.
	MonotoneRevision Invariant = "monotone-revision"
	// Capacity holds when a server's admitted work stays within its capacity.
	Capacity Invariant = "capacity"
	// ChartTransition holds when every state change is a transition of the state chart.
	ChartTransition Invariant = "chart-transition"
	// Codec holds when the program's own messages can be encoded.
	Codec Invariant = "codec"
)

var (
	total atomic.Uint64
	sink  atomic.Pointer[func(Invariant, string)]
)

// SetSink sets the function that receives the reports in production. Without one,
// reports are only counted.
func SetSink(f func(Invariant, string)) { sink.Store(&f) }

// Total returns the number of violations reported since the process started.
func Total() uint64 { return total.Load() }

// Report records a violation of an invariant, described by a format and arguments for
// fmt.Sprintf. It panics under test.
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

// Assert reports a violation of the invariant if ok is false, and returns ok.
func Assert(ok bool, i Invariant, format string, args ...any) bool {
	if !ok {
		Report(i, format, args...)
	}
	return ok
}
