package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// phase is the progress of the heartbeat to one neighbour.
type phase uint8

const (
	// phaseIdle means that no heartbeat awaits an answer.
	phaseIdle phase = iota
	// phaseWaiting means that a heartbeat awaits its answer.
	phaseWaiting
	// phaseProbing means that a probe over a new connection awaits its answer.
	phaseProbing
)

const (
	// deadRetryInterval is the time between retries of a randomly chosen dead
	// member.
	deadRetryInterval = 2 * time.Second
	// maxDisputedProbes is the maximum number of disputed members that are probed
	// in one tick.
	maxDisputedProbes = 4
)

// markResponsive records that e itself sent a message. The state of a suspect or
// dead member stays: the next heartbeat to it carries that state, which it refutes
// with a higher incarnation.
func (t *Table) markResponsive(e *entry) {
	e.phase = phaseIdle
}

// checkNeighbour advances the heartbeat exchange with one neighbour: it sends a
// heartbeat when one is due, probes over a new connection if no answer arrives in
// time, and marks the member as unresponsive if the probe is not answered either.
func (t *Table) checkNeighbour(now time.Time, e *entry, o *Output) {
	switch {
	case e.phase == phaseWaiting && now.Sub(e.sentAt) >= t.c.Timeout:
		e.phase = phaseProbing
		e.sentAt = now
		o.Sends = append(o.Sends, Send{To: e.Member, Heartbeat: t.heartbeat(e), NewConnection: true})
	case e.phase == phaseProbing && now.Sub(e.sentAt) >= t.c.ProbeTimeout:
		e.phase = phaseIdle
		e.nextHeartbeat = now.Add(t.c.Interval)
		if e.State == Alive || e.State == Leaving {
			t.markUnresponsive(now, e, o)
		}
	case e.phase == phaseIdle && !now.Before(e.nextHeartbeat):
		e.phase = phaseWaiting
		e.sentAt = now
		e.nextHeartbeat = now.Add(t.c.Interval)
		o.Sends = append(o.Sends, Send{To: e.Member, Heartbeat: t.heartbeat(e)})
	}
}

// ConnectionRefused handles the refusal of a new connection to a member. As no process
// listens there, an alive member becomes suspect for half of the suspicion time, and a
// leaving one is dead at once.
func (t *Table) ConnectionRefused(now time.Time, id string) Output {
	var o Output
	e, ok := t.m[id]
	if !ok || e.State >= Dead || e.State == Suspect {
		return o
	}
	t.markUnresponsive(now, e, &o)
	if e.State == Suspect {
		e.since = now.Add(-t.c.Suspicion / 2)
	}
	t.rebuild(now)
	o.Sends = t.flush(now).Sends
	return o
}

// markUnresponsive marks a live member as suspect, and a leaving one as dead at
// once.
func (t *Table) markUnresponsive(now time.Time, e *entry, o *Output) {
	if e.State == Leaving {
		t.setState(now, e, Member{}, Dead, o)
		return
	}
	t.setState(now, e, Member{}, Suspect, o)
}

// expire marks suspect members as dead when their suspicion time is over, and
// forgets members that have been dead or left for DeadRetention.
func (t *Table) expire(now time.Time, o *Output) {
	for id, e := range t.m {
		d := now.Sub(e.since)
		switch {
		case e.State == Suspect && d >= t.c.Suspicion:
			t.setState(now, e, Member{}, Dead, o)
		case e.State >= Dead && d >= t.c.DeadRetention:
			delete(t.m, id)
		}
	}
	slices.SortFunc(o.Changes, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
}

// retryDead probes disputed members and, from time to time, a randomly chosen dead
// one, so that regions find each other again after a network partition.
func (t *Table) retryDead(now time.Time, o *Output) {
	n := 0
	for _, id := range slices.Sorted(maps.Keys(t.disputed)) {
		if n++; n > maxDisputedProbes {
			break
		}
		delete(t.disputed, id)
		if e := t.m[id]; e != nil && e.State == Dead {
			o.Sends = append(o.Sends, t.deadProbe(e))
		}
	}
	if now.Before(t.nextDeadRetry) {
		return
	}
	t.nextDeadRetry = now.Add(deadRetryInterval)
	var l []string
	for id, e := range t.m {
		if e.State == Dead {
			l = append(l, id)
		}
	}
	if len(l) == 0 {
		return
	}
	slices.Sort(l)
	s := t.deadProbe(t.m[l[t.rng.IntN(len(l))]])
	s.Full = true
	o.Sends = append(o.Sends, s)
}

// deadProbe returns a heartbeat that carries the recorded state of a dead member,
// so that the member refutes it if it is alive.
func (t *Table) deadProbe(e *entry) Send {
	h := Heartbeat{From: t.self.ID, Offset: t.offset, Checksum: t.checksum, Deltas: []Member{e.Member, t.self}}
	return Send{To: e.Member, Heartbeat: h, NewConnection: true}
}
