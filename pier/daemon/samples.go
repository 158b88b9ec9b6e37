package daemon

import (
	"context"
	"time"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/rollout"
)

const (
	// heldRetention is how long a sample is kept if it is not released.
	heldRetention = 15 * time.Minute
	// coordinatorTimeout is how long a request that reports the end of a stream, or
	// hands samples over, may take.
	coordinatorTimeout = 5 * time.Second
)

// held is a finished sample that the trainer has not acknowledged yet.
type held struct {
	sample *rollout.Sample
	// delivered is set once a coordinator has accepted the sample.
	delivered bool
	heldSince time.Time
}

// sendSamples sends finished samples to the trainer's coordinator. Samples that it
// does not accept stay held and are sent again.
func (o *owners) sendSamples(ctx context.Context, trainer string, l []*rollout.Sample) {
	id, err := o.d.steps.coordinatorFor(trainer)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
		defer cancel()
		q := &entryhost.DeliverSamplesRequest{Host: o.d.id, Trainer: trainer, Samples: l}
		err = o.d.call(ctx, id, entryhost.DeliverSamples, q, nil)
	}
	if err != nil {
		o.d.metrics.retry("seal", err)
		return
	}
	o.mu.Lock()
	for _, s := range l {
		if h := o.held[s.ID()]; h != nil {
			h.delivered = true
		}
	}
	o.mu.Unlock()
	for _, s := range l {
		o.cancelOnServer(s.Server, s.ID())
	}
}

// resendSamples sends the samples again that no coordinator has accepted, and
// discards samples older than heldRetention.
func (o *owners) resendSamples(ctx context.Context) {
	byTrainer := make(map[string][]*rollout.Sample)
	o.mu.Lock()
	for id, h := range o.held {
		age := time.Since(h.heldSince)
		if age > heldRetention {
			delete(o.held, id)
			o.d.metrics.discarded.Add(float64(h.sample.Tokens))
			continue
		}
		if !h.delivered && age > time.Second {
			t := h.sample.Key.Trainer
			byTrainer[t] = append(byTrainer[t], h.sample)
		}
	}
	o.d.metrics.held.Set(float64(len(o.held)))
	o.mu.Unlock()
	for t, l := range byTrainer {
		for _, s := range l {
			o.sendSamples(ctx, t, []*rollout.Sample{s})
		}
	}
}

// holdings returns the streams and samples that this host has of a step.
func (o *owners) holdings(k rollout.StepKey) *entryhost.ListHeldAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := &entryhost.ListHeldAnswer{}
	for _, s := range o.streams {
		if s.Key == k {
			w := s.Work
			w.Prompt = ""
			a.Running = append(a.Running, w)
		}
	}
	for _, h := range o.held {
		if h.sample.Key == k {
			a.Finished = append(a.Finished, h.sample)
		}
	}
	return a
}

// releaseSamples drops the samples that the coordinator no longer needs. If the step
// has ended, it drops all of the step's samples and stops its streams.
func (o *owners) releaseSamples(q *entryhost.ReleaseSamplesRequest) error {
	want := make(map[rollout.Slot]bool, len(q.Slots))
	for _, n := range q.Slots {
		want[n] = true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, h := range o.held {
		if h.sample.Key == q.Key && (q.All || want[h.sample.Slot]) {
			delete(o.held, id)
		}
	}
	if q.All {
		for _, s := range o.streams {
			if s.Key == q.Key {
				s.unwanted.Store(true)
				s.stop()
			}
		}
	}
	o.d.metrics.held.Set(float64(len(o.held)))
	return nil
}
