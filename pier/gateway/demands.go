package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/loadplan"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
)

// The driver of a step knows which samples wait for want of an engine with a version that they may
// use; the holder of the order lease has engines load versions. So drivers tell the holder.

const (
	// demandAfter is how long a sample waits before its driver asks for more engines: a step's
	// samples wait for each other at times.
	demandAfter = 1500 * time.Millisecond
	// demandInterval is the time between two demands of a step, demandLifetime how long one holds.
	demandInterval = 300 * time.Millisecond
	demandLifetime = time.Second
	// maxDemands bounds the demands that a host keeps, one for each driver and model.
	maxDemands = 1000
)

// kindDemand is the kind of a message that tells the holder of the order lease of a demand. Its body
// is a demand.
const kindDemand = kindLimitNotice + 1

// demand is what the samples of one host wait for.
type demand struct {
	Host  string `msgpack:"h"`
	Model string `msgpack:"m"`
	// Oldest is the oldest version that the samples may use, Servers the number of engines that they
	// could fill.
	Oldest  int64 `msgpack:"v"`
	Servers int   `msgpack:"s"`
}

// demandKey identifies the driver and the model of a demand.
type demandKey struct{ host, model string }

// heldDemand is a demand that holds until a time since boot.
type heldDemand struct {
	demand
	until time.Duration
}

// demands holds the demands that this host has been told. It is safe for concurrent use.
type demands struct {
	mu   sync.Mutex
	held map[demandKey]heldDemand
}

func newDemands() *demands { return &demands{held: make(map[demandKey]heldDemand)} }

// add replaces the demand of a driver for a model.
func (l *demands) add(d demand, now time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.held, func(_ demandKey, h heldDemand) bool { return now > h.until })
	if len(l.held) >= maxDemands {
		return outcome.Refuse(outcome.ReasonQueueFull, "demands for versions")
	}
	l.held[demandKey{d.Host, d.Model}] = heldDemand{demand: d, until: now + demandLifetime}
	return nil
}

// byModel returns the demands in force, those of several drivers for a model together.
func (l *demands) byModel(now time.Duration) map[string]loadplan.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := make(map[string]loadplan.Demand)
	for k, h := range l.held {
		if now > h.until {
			continue
		}
		d := r[k.model]
		r[k.model] = loadplan.Demand{Oldest: max(d.Oldest, h.Oldest), Servers: d.Servers + max(h.Servers, 0)}
	}
	return r
}

// met drops the demands for a model: its drivers tell what they still need.
func (l *demands) met(model string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.held, func(k demandKey, _ heldDemand) bool { return k.model == model })
}

// answerDemand takes the demand of another host, if this one holds the order lease.
func (g *Gateway) answerDemand(r *peer.Request) (any, error) {
	var d demand
	if err := peer.Decode(r.Body, &d); err != nil {
		return nil, err
	}
	if g.orders.notices.leaseHolder() != g.hostID() {
		return nil, outcome.Refuse(outcome.ReasonNotOwner, "order lease")
	}
	if err := g.orders.demands.add(d, boottime.Now()); err != nil {
		return nil, err
	}
	g.orders.wake()
	return nil, nil
}

// demandVersions tells the holder of the order lease that samples wait for engines with a version.
func (g *Gateway) demandVersions(d demand) error {
	d.Host = g.self.Host
	holder := g.orders.notices.leaseHolder()
	if holder == g.hostID() {
		err := g.orders.demands.add(d, boottime.Now())
		g.orders.wake()
		return err
	}
	a, ok := peerAddress(holder)
	if !ok {
		return outcome.Refuse(outcome.ReasonNotOwner, "no holder of the order lease")
	}
	ctx, cancel := context.WithTimeout(g.ctx, permitTimeout)
	defer cancel()
	return g.peers.Call(ctx, a, kindDemand, &d, nil)
}

// demandEngines asks for more engines if samples of the step wait for want of a version: an engine
// would have room for them if it held another one.
func (d *stepDriver) demandEngines(p *slotPicker) {
	now := time.Now()
	if len(d.waiting) == 0 || now.Sub(d.demandedAt) < demandInterval {
		return
	}
	r := demand{Model: d.step.Model}
	waiting, slots := 0, 1
	for _, s := range d.waiting {
		if now.Sub(s.waitsSince()) < demandAfter || s.prompt.Held {
			continue
		}
		services := d.services(p.t, s)
		if !p.hasFree(services, anyVersion) {
			continue
		}
		waiting++
		slots = p.t.Slots(services[0])
		r.Oldest = max(r.Oldest, d.minVersion(s))
	}
	if waiting == 0 {
		return
	}
	d.demandedAt = now
	r.Servers = (waiting + slots - 1) / slots
	d.g.log.Info("step: samples wait for engines with a version", zap.String("id", d.step.ID), zap.String("model", r.Model),
		zap.Int64("oldest", r.Oldest), zap.Int("samples", waiting), zap.Int("engines", r.Servers))
	d.g.wg.Go(func() {
		if err := d.g.demandVersions(r); err != nil {
			d.g.log.Info("step: holder of the order lease could not be told what samples wait for",
				zap.String("id", d.step.ID), zap.Error(err))
		}
	})
}

// waitsSince returns when the sample was last at a server, or was queued.
func (s *sample) waitsSince() time.Time {
	if s.brokenAt.After(s.queuedAt) {
		return s.brokenAt
	}
	return s.queuedAt
}
