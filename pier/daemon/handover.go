package daemon

import (
	"context"
	"time"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/rollout"
)

// keepBatch is the greatest number of samples of one handover.
const keepBatch = 64

// handOver gives the samples that this host holds to the next owners of their
// servers, so that a planned stop loses none even if the coordinator goes too.
func (o *owners) handOver(ctx context.Context) {
	by := make(map[string][]*rollout.Sample)
	o.mu.Lock()
	for _, h := range o.held {
		by[h.sample.Server] = append(by[h.sample.Server], h.sample)
	}
	o.mu.Unlock()
	for n, l := range by {
		for len(l) > 0 {
			k := min(len(l), keepBatch)
			o.give(ctx, n, l[:k])
			l = l[k:]
		}
	}
}

// give hands samples of one server over.
func (o *owners) give(ctx context.Context, server string, l []*rollout.Sample) {
	v, _ := o.d.notes.snapshot().Server(server)
	id, err := o.d.members.holder(ownerKey(server), v.Region)
	if err == nil {
		y, cancel := context.WithTimeout(ctx, sealLimit)
		defer cancel()
		err = o.d.call(y, id, entryhost.Keep, &entryhost.KeepRequest{Samples: l}, nil)
	}
	if err != nil {
		o.d.metrics.retry("keep", err)
	}
}

// keep takes samples over from a host that is leaving. They count as not taken
// by a coordinator, which is told of them again.
func (o *owners) keep(q *entryhost.KeepRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range q.Samples {
		if id := m.ID(); o.held[id] == nil {
			o.held[id] = &held{sample: m, at: time.Now()}
		}
	}
	o.d.metrics.held.Set(float64(len(o.held)))
	return nil
}
