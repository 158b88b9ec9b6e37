package rollout

import (
	"maps"
	"slices"
	"time"
)

// Cancel asks the owner on Host to cancel a stream.
type Cancel struct {
	Stream
	Host   string
	Server string
	// Move asks the owner to return the tokens generated so far.
	Move bool
}

// startRun moves a pending slot to slotRunning, or adds a run to one that is running.
func (c *Coordinator) startRun(n Slot, r run) {
	s := c.slots[n]
	r.slot = n
	s.nextAttempt = max(s.nextAttempt, r.attempt+1)
	s.runs = append(s.runs, r)
	c.load[r.server]++
	if s.state == slotPending {
		s.state = slotRunning
		c.running[n] = s
		c.counts.Pending--
		c.counts.Running++
		c.dequeue(n, s)
	}
}

// dequeue removes a slot from the pending ones.
func (c *Coordinator) dequeue(n Slot, s *slot) {
	s.group.pending = remove(s.group.pending, n)
	c.awaitingExpress = remove(c.awaitingExpress, n)
	c.queue.fix(s.group)
}

// AddHeld adds what a host holds for the step, after this coordinator took the step over:
// streams in progress and finished samples. It ignores slots whose group is not open yet,
// so the caller repeats it once more groups are. It returns the streams to cancel.
func (c *Coordinator) AddHeld(now time.Time, host string, running []Work, done []*Sample) []Cancel {
	for i := range running {
		w := &running[i]
		s, ok := c.slots[w.Slot]
		if !ok || s.state > slotRunning || s.runIndex(w.Attempt) >= 0 {
			continue
		}
		c.startRun(w.Slot, run{attempt: w.Attempt, server: w.Server, host: host, started: now, lastSeen: now})
	}
	var x []Cancel
	for _, d := range done {
		x = append(x, c.Seal(d)...)
	}
	return x
}

// Adopt records that host drives a stream on the server, possibly in place of an earlier
// owner. It returns false when the stream's result is no longer wanted.
func (c *Coordinator) Adopt(now time.Time, host, server string, t Stream) bool {
	s, ok := c.slots[t.Slot]
	if !ok || s.state > slotRunning {
		return false
	}
	if i := s.runIndex(t.Attempt); i >= 0 {
		s.runs[i].host = host
		s.runs[i].lastSeen = now
		return true
	}
	c.startRun(t.Slot, run{attempt: t.Attempt, server: server, host: host, started: now, lastSeen: now})
	return true
}

// Progress records the number of tokens that a stream has generated.
func (c *Coordinator) Progress(t Stream, tokens int) {
	s, ok := c.slots[t.Slot]
	if !ok {
		return
	}
	if i := s.runIndex(t.Attempt); i >= 0 {
		s.runs[i].tokens = tokens
		c.markStraggler(t.Slot, s)
	}
}

// StreamFailed records that a stream ended without a finished sample. Its slot is generated
// again, resuming from the partial sample if there is one.
func (c *Coordinator) StreamFailed(t Stream, tokens int, partial *Sample) {
	s, ok := c.slots[t.Slot]
	if !ok {
		return
	}
	i := s.runIndex(t.Attempt)
	if i < 0 {
		return
	}
	if s.runs[i].moveRequested.IsZero() {
		c.counts.Lost++
	}
	c.endRun(t.Slot, s, i)
	if s.state == slotPending && partial != nil && partial.Complete() && partial.Tokens < s.group.MaxTokens {
		s.partial = partial
		return
	}
	c.counts.Discarded += int64(tokens)
}

// Tick drops the streams that no owner has reported for the grace time, and returns their
// number. Time during which this coordinator itself was stalled does not count.
func (c *Coordinator) Tick(now time.Time) int {
	if d := now.Sub(c.lastTick); !c.lastTick.IsZero() && d > c.c.Grace/2 {
		c.resumedAt = now
	}
	c.lastTick = now
	n := 0
	for _, k := range slices.Sorted(maps.Keys(c.running)) {
		s := c.running[k]
		for i := len(s.runs) - 1; i >= 0; i-- {
			if since := later(s.runs[i].lastSeen, c.resumedAt); now.Sub(since) < c.c.Grace {
				continue
			}
			c.counts.Lost++
			c.counts.Discarded += int64(s.runs[i].tokens)
			c.endRun(k, s, i)
			n++
		}
	}
	return n
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// endRun removes the i-th run of a slot. A slot without runs becomes pending again.
func (c *Coordinator) endRun(n Slot, s *slot, i int) {
	c.uncountRun(&s.runs[i])
	s.runs = slices.Delete(s.runs, i, i+1)
	if s.state == slotRunning && len(s.runs) == 0 {
		c.counts.Running--
		delete(c.running, n)
		c.requeue(n, s)
	}
}

// requeue makes a slot pending again, in slot order within its group, which usually puts it
// ahead of the samples not started yet. A slot that belongs on an express server waits for one.
func (c *Coordinator) requeue(n Slot, s *slot) {
	s.state = slotPending
	s.sample = nil
	c.counts.Pending++
	delete(c.stragglers, n)
	if s.express {
		c.awaitingExpress = append(c.awaitingExpress, n)
		return
	}
	i, _ := slices.BinarySearch(s.group.pending, n)
	s.group.pending = slices.Insert(s.group.pending, i, n)
	c.queue.fix(s.group)
}

// uncountRun removes a run from the counts. A run that was asked to move is no longer
// counted on its server.
func (c *Coordinator) uncountRun(r *run) {
	if r.moveRequested.IsZero() {
		c.uncountStream(r.server)
	} else if r.express {
		c.movingToExpress--
	}
}

// uncountStream subtracts one stream from the server's load.
func (c *Coordinator) uncountStream(server string) {
	if c.load[server]--; c.load[server] <= 0 {
		delete(c.load, server)
	}
}
