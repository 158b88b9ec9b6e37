package rollout

import (
	"slices"
	"time"
)

// slotState is the progress of a slot. Comparisons rely on the order of the constants.
type slotState uint8

const (
	// slotPending means that the sample waits for a server.
	slotPending slotState = iota
	// slotRunning means that at least one attempt is in progress.
	slotRunning
	// slotSealed means that the sample is finished and in no outstanding batch.
	slotSealed
	// slotOffered means that the sample is in the outstanding batch.
	slotOffered
	// slotAcked means that the trainer has the sample.
	slotAcked
)

// run is one attempt in progress.
type run struct {
	slot    Slot
	attempt int
	// version is the version that the server reported when the stream started, or the
	// oldest one of the tokens that it resumed from; 0 if unknown.
	version Version
	// moveRequested is when the owner was asked to stop the stream in order to move it; zero
	// if it was not.
	moveRequested time.Time
	// express is set when the stream is moving to an express server.
	express bool
	server  string
	host    string
	started time.Time
	// lastSeen is when an owner last reported that it drives the stream.
	lastSeen time.Time
	tokens   int
}

// slot is the state of one sample of the step.
type slot struct {
	state slotState
	group *group
	// nextAttempt is the number of the next attempt. Numbers are never reused.
	nextAttempt int
	runs        []run
	// moves counts how often the slot was moved to another server.
	moves int
	// express is set once the slot was a straggler; it then runs on express servers.
	express bool
	// early is set when the slot is counted in Coordinator.early.
	early bool
	// partial holds the tokens of a stopped attempt, from which the next one resumes.
	partial *Sample
	// sample is set from slotSealed until slotAcked; keptAttempt is the attempt that
	// generated it.
	sample      *Sample
	keptAttempt int
}

// group is a group of the step with its scheduling state.
type group struct {
	Group
	// done counts the slots of the group that are sealed, offered or acknowledged.
	done int
	// sealedTokens is the number of tokens of the sealed samples, for length prediction.
	sealedTokens int
	// pending lists the pending slots in ascending order, except those that wait for an
	// express server.
	pending []Slot
	// seq is the position in the order of opening; heapIndex is the position in the queue,
	// -1 if the group is not in it.
	seq, heapIndex int
}

// runIndex returns the index of the run with the given attempt number, or -1.
func (s *slot) runIndex(attempt int) int {
	return slices.IndexFunc(s.runs, func(r run) bool { return r.attempt == attempt })
}

// remove returns l without n. It may modify l's memory.
func remove(l []Slot, n Slot) []Slot {
	if i := slices.Index(l, n); i >= 0 {
		return slices.Delete(l, i, i+1)
	}
	return l
}
