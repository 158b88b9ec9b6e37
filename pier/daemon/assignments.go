package daemon

import (
	"maps"
	"slices"
	"time"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/rollout"
)

// assign assigns work of a trainer's steps to the offered servers, oldest step
// first.
func (s *steps) assign(q *entryhost.OfferRequest) *entryhost.OfferAnswer {
	t := s.trainer(q.Trainer)
	t.mu.Lock()
	defer t.mu.Unlock()
	a := &entryhost.OfferAnswer{Version: t.version}
	now := time.Now()
	for _, n := range slices.Sorted(maps.Keys(t.steps)) {
		p := t.steps[n]
		s.recordProgress(now, q, n, p)
		if !isClosed(p.ready) {
			continue
		}
		w := p.c.Assign(now, q.Host, q.Offers)
		for i := range w {
			useSlot(q.Offers, w[i].Server)
		}
		a.Work = append(a.Work, w...)
		s.cancelAll(p.c.Moves(now, q.Offers))
		c := p.c.Counts()
		a.Pending += c.Pending
		if l := c.Pending + c.Running; l > 0 && a.Unsealed == 0 {
			a.Unsealed = l
		}
		if c.Pending > 0 && a.PendingSince.IsZero() {
			a.PendingSince = p.opened
		}
	}
	return a
}

// recordProgress applies the reported progress of the host's streams of step n.
// Streams whose result is no longer wanted are cancelled.
func (s *steps) recordProgress(now time.Time, q *entryhost.OfferRequest, n int64, p *step) {
	for i := range q.Progress {
		g := &q.Progress[i]
		if g.Step != n || !g.Consistent() {
			continue
		}
		for j := range g.Slots {
			t := rollout.Stream{Key: p.c.Key(), Slot: g.Slots[j], Attempt: g.Attempts[j]}
			if !p.c.Adopt(now, q.Host, g.Server, t) && p.c.Opened(t.Slot) {
				s.cancelAll([]rollout.Cancel{{Stream: t, Host: q.Host, Server: g.Server}})
				continue
			}
			p.c.Progress(t, g.Tokens[j])
		}
	}
}

// useSlot subtracts one free slot of a server from the offers.
func useSlot(o []rollout.Offer, server string) {
	for i := range o {
		if o[i].Server == server {
			o[i].FreeSlots--
		}
	}
}

// seal accepts finished samples. It fails with the *outcome.Error unknown-step if
// this host does not coordinate the step, in which case the owner keeps the
// samples.
func (s *steps) seal(q *entryhost.DeliverSamplesRequest) error {
	t := s.trainer(q.Trainer)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, x := range q.Samples {
		p := t.steps[x.Key.Step]
		if p == nil || !p.c.Opened(x.Slot) {
			return outcome.Refuse(outcome.ReasonUnknownStep, x.Key.String())
		}
		s.cancelAll(p.c.Seal(x))
		if !p.c.HasUnacknowledged(x.Slot) {
			go s.sendRelease(q.Host, &entryhost.ReleaseSamplesRequest{
				Key:   x.Key,
				Slots: []rollout.Slot{x.Slot},
			})
			continue
		}
		p.sealedBy[x.Slot] = q.Host
	}
	t.notifyPulls()
	return nil
}

// streamFailed processes the report of a stream that ended without a sample.
func (s *steps) streamFailed(q *entryhost.StreamFailedRequest) error {
	t := s.trainer(q.Stream.Key.Trainer)
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.steps[q.Stream.Key.Step]
	if p == nil {
		return outcome.Refuse(outcome.ReasonUnknownStep, q.Stream.Key.String())
	}
	p.c.StreamFailed(q.Stream, q.Tokens, q.Partial)
	return nil
}
