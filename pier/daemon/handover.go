package daemon

import (
	"context"
	"time"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/rollout"
)

// handoverBatch is the maximum number of samples in one handover request.
const handoverBatch = 64

// handOver sends the samples that this host holds to the next owners of their
// servers, so that a graceful shutdown loses none of them even if the coordinator
// stops as well.
func (o *owners) handOver(ctx context.Context) {
	byServer := make(map[string][]*rollout.Sample)
	o.mu.Lock()
	for _, h := range o.held {
		byServer[h.sample.Server] = append(byServer[h.sample.Server], h.sample)
	}
	o.mu.Unlock()
	for n, l := range byServer {
		for len(l) > 0 {
			k := min(len(l), handoverBatch)
			o.sendHandover(ctx, n, l[:k])
			l = l[k:]
		}
	}
}

// sendHandover hands samples of one server over to its next owner. A failure is
// only counted; the samples are then lost with this host unless their coordinator
// has them.
func (o *owners) sendHandover(ctx context.Context, server string, l []*rollout.Sample) {
	v, _ := o.d.notes.snapshot().Server(server)
	id, err := o.d.members.holder(ownerKey(server), v.Region)
	if err == nil {
		callCtx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
		defer cancel()
		err = o.d.call(callCtx, id, entryhost.HandOver, &entryhost.HandOverRequest{Samples: l}, nil)
	}
	if err != nil {
		o.d.metrics.retry("keep", err)
	}
}

// acceptHandover takes over samples from a host that is leaving. They are marked as
// not delivered, so that they are sent to the coordinator again.
func (o *owners) acceptHandover(q *entryhost.HandOverRequest) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range q.Samples {
		if id := m.ID(); o.held[id] == nil {
			o.held[id] = &held{sample: m, heldSince: time.Now()}
		}
	}
	o.d.metrics.held.Set(float64(len(o.held)))
	return nil
}
