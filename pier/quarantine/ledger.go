package quarantine

import (
	"maps"
	"time"

	"mulberrypier.example/pier/directory"
)

const (
	// suspectEnds is the number of servers that must have ended under a request before it is
	// sent in trials only.
	suspectEnds = 2
	// maxTrials is the number of trials of a request. No trial follows the last one until
	// the request is forgotten.
	maxTrials = 3
	// culpritTrials is the number of trials that must have ended their servers before the
	// request counts as the cause of all ends that it was seen at. One may be by chance.
	culpritTrials = 2
	// maxTrialTime bounds the time for which other hosts wait for the result of a trial.
	maxTrialTime = 30 * time.Second
	// provenTime is the time after an answer in which the end of a server is not held against
	// the request.
	provenTime = 10 * time.Second
	// maxEnds bounds the servers that are kept of one request, maxRequests the requests.
	maxEnds     = 16
	maxRequests = 10000
)

// CountedEnds is the number of servers that must have ended under a request before each of its
// trials counts in which a byte reached a server, whatever came of it.
const CountedEnds = 3

// trialDelays holds the time from the end of the previous trial to the next one, by the number
// of trials that were made.
var trialDelays = [maxTrials]time.Duration{0, time.Second, 30 * time.Second}

// Action is what a host may do with a request. It is also a label value of metrics.
type Action string

// The actions.
const (
	// Send means that nothing is held against the request.
	Send Action = "send"
	// SendCarefully means that a server ended under the request: it is sent to one server
	// at a time.
	SendCarefully Action = "send-carefully"
	// Try means that the request may be sent only after an event of KindTrial was accepted.
	Try Action = "try"
	// Wait means that another trial of the request is in progress.
	Wait Action = "wait"
	// Refuse means that the request must not be sent.
	Refuse Action = "refuse"
)

// Decision is what a host may do with a request, and why.
type Decision struct {
	Action Action
	// Trial is the number of the trial to ask for, if the action is Try.
	Trial int
	// After is how long the trial in progress lasts at most, if the action is Wait, or how long
	// the request is refused.
	After time.Duration
	// Ends is the number of servers that ended under the request; the last one did, or its
	// trial ended, Age ago.
	Ends int
	Age  time.Duration
}

// Ledger holds what is known of the requests under which servers ended. All points in time are
// readings of package boottime's clock. It performs no I/O and is not safe for concurrent use.
type Ledger struct {
	// memory is how long a request is remembered after its last event.
	memory  time.Duration
	entries map[Key]*entry
	// order holds the requests by the time at which they were last looked at, the oldest
	// first. Each request in entries is in it once.
	order []dated
	// causes holds the servers whose end is put down to a request.
	causes map[directory.Incarnation]Key
	// trials holds the servers at which a trial is in progress.
	trials map[directory.Incarnation]Key
}

// dated is a request and when it was last changed, as far as was known when it was queued.
type dated struct {
	key Key
	at  time.Duration
}

// entry is what is known of a request.
type entry struct {
	// ends holds the service of each server that ended under the request. kept is the least
	// number of ends that is known from a KindKept event.
	ends map[directory.Incarnation]string
	kept int
	// trials is the number of trials that were accepted and used; endedTrials holds the
	// numbers of those that ended their servers.
	trials      int
	endedTrials map[int]bool
	// trial is the newest trial, open while it is in progress, at most until trial.until.
	trial trial
	open  bool
	// lastEnd is when a server last ended, or a trial had its result.
	lastEnd time.Duration
	// proven is when the service provenBy last answered the request; zero if never.
	proven   time.Duration
	provenBy string
	// changed is when an event last added to the entry.
	changed time.Duration
}

// trial is the right to send a request to a server, given to one claim.
type trial struct {
	claim  string
	server directory.Incarnation
	until  time.Duration
}

func (x *entry) count() int { return max(len(x.ends), x.kept) }

// isCulprit reports whether the request counts as the cause of the ends that it was seen at.
func (x *entry) isCulprit() bool { return len(x.endedTrials) >= culpritTrials }

// NewLedger returns an empty ledger that remembers a request for a time after its last event.
func NewLedger(memory time.Duration) *Ledger {
	return &Ledger{
		memory: memory, entries: make(map[Key]*entry), causes: make(map[directory.Incarnation]Key),
		trials: make(map[directory.Incarnation]Key),
	}
}

// Len returns the number of requests of which something is known.
func (l *Ledger) Len() int { return len(l.entries) }

// Decide returns what a host may do with a request.
func (l *Ledger) Decide(k Key, now time.Duration) Decision {
	l.forget(now)
	x := l.entries[k]
	if x == nil || x.count() == 0 {
		return Decision{Action: Send}
	}
	d := Decision{Ends: x.count(), Age: now - x.lastEnd}
	switch next := x.lastEnd + trialDelays[min(x.trials, maxTrials-1)]; {
	case x.open && now < x.trial.until:
		d.Action, d.After = Wait, x.trial.until-now
	case d.Ends < suspectEnds:
		d.Action = SendCarefully
	case x.trials >= maxTrials:
		d.Action, d.After = Refuse, x.changed+l.memory-now
	case now < next:
		d.Action, d.After = Refuse, next-now
	default:
		d.Action, d.Trial = Try, x.trials+1
	}
	return d
}

// HasTrial reports whether a claim got the trial that is in progress.
func (l *Ledger) HasTrial(k Key, claim string) bool {
	x := l.entries[k]
	return x != nil && x.open && x.trial.claim == claim
}

// InTrial reports whether a trial is in progress at a server, which should get no other work
// meanwhile.
func (l *Ledger) InTrial(s directory.Incarnation, now time.Duration) bool {
	k, ok := l.trials[s]
	if !ok {
		return false
	}
	x := l.entries[k]
	return x != nil && x.open && x.trial.server == s && now < x.trial.until
}

// Kept returns the event that keeps a refused request from being forgotten. ok is false if that
// is not due.
func (l *Ledger) Kept(k Key, now time.Duration) (e Event, ok bool) {
	x := l.entries[k]
	if x == nil || x.trials < maxTrials || now-x.changed < l.memory/2 {
		return Event{}, false
	}
	return Event{Kind: KindKept, Key: k, Ends: x.count(), Trials: x.trials}, true
}

// Apply applies an event that was read, or is about to be appended, at now. Applying an event
// twice changes nothing.
func (l *Ledger) Apply(e Event, now time.Duration) {
	l.forget(now)
	x := l.entries[e.Key]
	if x == nil {
		if e.Kind != KindEnded && e.Kind != KindKept {
			return
		}
		x = l.add(e.Key, now)
	}
	switch e.Kind {
	case KindEnded:
		l.ended(x, e, now)
	case KindAnswered:
		l.answered(x, e, now)
	case KindTrial:
		l.tryAt(x, e, now)
	case KindUnused:
		if x.open && x.trials == e.Trial && x.trial.claim == e.Claim {
			x.trials--
			l.endTrial(x, e.Key)
		}
	case KindUndecided:
		if x.open && x.trials == e.Trial {
			x.lastEnd = now
			l.endTrial(x, e.Key)
		}
	case KindKept:
		x.kept, x.trials, x.changed = max(x.kept, e.Ends), max(x.trials, e.Trials), now
	}
}

func (l *Ledger) ended(x *entry, e Event, now time.Duration) {
	cause, explained := l.causes[e.Server]
	switch {
	case explained && cause != e.Key:
		if x.open && x.trials == e.Trial {
			x.trials--
			l.endTrial(x, e.Key)
		}
		return
	case x.proven > 0 && x.provenBy == e.Service && now-x.proven < provenTime:
		return
	}
	if _, known := x.ends[e.Server]; !known {
		if len(x.ends) < maxEnds {
			x.ends[e.Server] = e.Service
		}
		x.lastEnd, x.changed = now, now
	}
	if e.Trial > 0 && e.Trial == x.trials {
		x.endedTrials[e.Trial] = true
		l.endTrial(x, e.Key)
	}
	if x.isCulprit() {
		l.blame(x, e.Key)
	}
}

// blame puts the ends of all servers that ended under a request down to it, so that they are
// not held against the requests that ran beside it.
func (l *Ledger) blame(x *entry, k Key) {
	for s := range x.ends {
		l.causes[s] = k
	}
	for o, y := range l.entries {
		if o == k {
			continue
		}
		before := len(y.ends)
		maps.DeleteFunc(y.ends, func(s directory.Incarnation, _ string) bool { return l.causes[s] == k })
		if len(y.ends) < before && y.count() < suspectEnds {
			y.trials = 0
			clear(y.endedTrials)
			l.endTrial(y, o)
		}
	}
}

// answered clears a request of the ends of the servers of a service that has answered it.
func (l *Ledger) answered(x *entry, e Event, now time.Duration) {
	maps.DeleteFunc(x.ends, func(s directory.Incarnation, service string) bool {
		return service == e.Service && l.forgetCause(s, e.Key)
	})
	x.kept, x.proven, x.provenBy = 0, now, e.Service
	if x.open && x.trials == e.Trial {
		l.endTrial(x, e.Key)
	}
	if len(x.ends) < suspectEnds {
		x.trials = 0
		clear(x.endedTrials)
		l.endTrial(x, e.Key)
	}
}

// forgetCause undoes that the end of a server is put down to a request. It returns true.
func (l *Ledger) forgetCause(s directory.Incarnation, k Key) bool {
	if l.causes[s] == k {
		delete(l.causes, s)
	}
	return true
}

// tryAt accepts a trial if it is the next one. Which one that is depends on the order of the
// events alone, so all hosts accept the same.
func (l *Ledger) tryAt(x *entry, e Event, now time.Duration) {
	if e.Trial != x.trials+1 || e.Trial > maxTrials {
		return
	}
	l.endTrial(x, e.Key)
	x.trials, x.open, x.changed = e.Trial, true, now
	x.trial = trial{claim: e.Claim, server: e.Server, until: now + min(max(e.Lasts, 0), maxTrialTime)}
	l.trials[e.Server] = e.Key
}

func (l *Ledger) endTrial(x *entry, k Key) {
	x.open = false
	if l.trials[x.trial.server] == k {
		delete(l.trials, x.trial.server)
	}
}

func (l *Ledger) add(k Key, now time.Duration) *entry {
	x := &entry{ends: make(map[directory.Incarnation]string), endedTrials: make(map[int]bool), changed: now}
	l.entries[k] = x
	l.order = append(l.order, dated{key: k, at: now})
	if len(l.entries) > maxRequests {
		l.evict()
	}
	return x
}

// evict drops the oldest request that still gets trials, or the oldest of all.
func (l *Ledger) evict() {
	for range l.order {
		o := l.order[0]
		l.order = l.order[1:]
		if x := l.entries[o.key]; x.trials < maxTrials {
			l.remove(o.key)
			return
		}
		l.order = append(l.order, o)
	}
	l.remove(l.order[0].key)
	l.order = l.order[1:]
}

// forget drops the requests whose last event is too long ago.
func (l *Ledger) forget(now time.Duration) {
	for len(l.order) > 0 && now-l.order[0].at >= l.memory {
		o := l.order[0]
		l.order = l.order[1:]
		if x := l.entries[o.key]; now-x.changed < l.memory {
			l.order = append(l.order, dated{key: o.key, at: x.changed})
			continue
		}
		l.remove(o.key)
	}
}

func (l *Ledger) remove(k Key) {
	x := l.entries[k]
	l.endTrial(x, k)
	for s := range x.ends {
		l.forgetCause(s, k)
	}
	delete(l.entries, k)
}
