package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/incarnation"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
)

// The steps of a model are driven by one host where possible, its home: it keeps
// the connections to the model's engines from step to step, and knows all samples
// that it has at them. A home costs nothing to be wrong about: a host that cannot
// hand a step to it drives the step itself and becomes the home.

const (
	// homesTopic keeps the home of each model.
	preferredDriversTopic = "keyed.homes"
	// homeAge is how long a home that was read is relied on.
	preferredDriversMaxAge = 2 * time.Second
	// homeLimit is how long the reading of the homes may hold up a step.
	preferredDriversTimeout = 200 * time.Millisecond
	// handLimit is how long a home may take to take a step.
	handOffTimeout = 400 * time.Millisecond
	// cutOff is how long the log may be silent for a host to drive steps.
	driveMaxLogSilence = 3 * time.Second
)

// kindDrive is the message that hands a step to its model's home.
const kindHandOff = kindDrivingQuery + 1

// driveOrder hands a step to its driver.
type handOffRequest struct {
	// Host is the incarnation that the step's record names as its driver.
	Host string            `msgpack:"h"`
	Step *stepjournal.Step `msgpack:"s"`
}

// home is the record of a model's home.
type driver struct {
	Driver stepjournal.Driver `msgpack:"d"`
	// Share is the part of a processor core that the host has.
	Share float64 `msgpack:"s"`
}

// homes is this host's view of the homes.
type preferred struct {
	g  *Gateway
	mu sync.Mutex
	// known holds the homes as read at the time read.
	all    map[string]driver
	readAt time.Time
}

func newPreferred(g *Gateway) *preferred { return &preferred{g: g, all: make(map[string]driver)} }

// of returns the home of a model; ok is false if there is none or it cannot be
// read in time.
func (p *preferred) lookup(ctx context.Context, model string) (driver, bool) {
	if !p.refresh(ctx) {
		return driver{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.all[model]
	return r, ok
}

// refresh reads the homes again once they are older than homeAge; false means that
// they could not be read, and those known may be out of date.
func (p *preferred) refresh(ctx context.Context) bool {
	p.mu.Lock()
	fresh := time.Since(p.readAt) < preferredDriversMaxAge
	p.mu.Unlock()
	if fresh {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, preferredDriversTimeout)
	defer cancel()
	n, err := p.g.c.Log.Newest(ctx, preferredDriversTopic)
	if err != nil {
		p.g.logHealth.failed(preferredDriversTopic, preferredDriversTopic, err)
		return false
	}
	p.g.logHealth.answered(preferredDriversTopic)
	all := make(map[string]driver)
	for _, k := range n.Records {
		var v driver
		if err := msgpack.Unmarshal(k.Value, &v); err != nil {
			p.g.metrics.unreadable.WithLabelValues(preferredDriversTopic).Inc()
			p.g.log.Warn("homes: record cannot be read", zap.String("model", k.Key), zap.Error(err))
			continue
		}
		all[k.Key] = v
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all, p.readAt = all, time.Now()
	return true
}

// choose returns the driver of a new step of a model, and whether this host should
// become the model's home.
func (p *preferred) choose(ctx context.Context, model string) (stepjournal.Driver, bool) {
	self := p.g.self
	r, ok := p.lookup(ctx, model)
	switch {
	case !ok || r.Driver.Host == "":
		return self, true
	case r.Driver.Host == self.Host:
		return self, false
	case r.Share < p.g.s.ProcessorShare && !p.isPreferred(self.Host):
		return self, true
	}
	return r.Driver, false
}

// taken reports whether a host is the home of any model.
func (p *preferred) isPreferred(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.all {
		if r.Driver.Host == host {
			return true
		}
	}
	return false
}

// claim makes this host the home of a model.
func (p *preferred) claim(model string) {
	r := driver{Driver: p.g.self, Share: p.g.s.ProcessorShare}
	b, err := msgpack.Marshal(&r)
	if err != nil {
		p.g.log.Error("homes: record cannot be made", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(p.g.ctx, appendTimeout)
	defer cancel()
	_, err = p.g.c.Log.Append(ctx, partitionlog.AppendRequest{
		Partition: partitionlog.Partition{Topic: preferredDriversTopic}, Records: [][]byte{partitionlog.JoinKeyed(model, b)}, At: partitionlog.NoCondition,
	})
	if err != nil {
		p.g.log.Warn("homes: cannot be claimed", zap.String("model", model), zap.Error(err))
		return
	}
	p.mu.Lock()
	p.all[model] = r
	p.mu.Unlock()
	p.g.log.Info("homes: claimed", zap.String("model", model), zap.Float64("share", r.Share))
}

// reclaim makes a host that was started again the home of the models of its former
// self.
func (p *preferred) reclaim() {
	for !p.refresh(p.g.ctx) {
		if !backoff.For(p.g.ctx, logRetryDelay) {
			return
		}
	}
	p.mu.Lock()
	var l []string
	for m, r := range p.all {
		if r.Driver.Host != p.g.self.Host && p.isPreviousIncarnation(r.Driver) {
			l = append(l, m)
		}
	}
	p.mu.Unlock()
	for _, m := range l {
		p.claim(m)
	}
}

// former reports whether a driver is an earlier incarnation of this host.
func (p *preferred) isPreviousIncarnation(d stepjournal.Driver) bool {
	return d.Peers == p.g.self.Peers && incarnation.IsOf(d.Host, p.g.s.Name)
}

// hand gives a step that was accepted for its model's home to that host, and takes
// it over if the home does not take it.
func (p *steps) handOff(r *routetable.Route, s *stepjournal.Step, v *view, to stepjournal.Driver) {
	ctx, cancel := context.WithTimeout(p.g.ctx, handOffTimeout)
	defer cancel()
	err := p.g.peers.Probe(ctx, to.Peers, kindHandOff, &handOffRequest{Host: to.Host, Step: s}, nil)
	if err == nil {
		return
	}
	p.g.log.Info("step: its home does not take it", zap.String("id", s.ID), zap.String("home", to.Host), zap.Error(err))
	if !p.appendTakeover(v, s.ID, to.Host) {
		return
	}
	if _, ok := p.confirmDriver(v, s.ID); ok {
		p.g.preferred.claim(s.Model)
		p.startDriving(r, s, v)
	}
}

// take takes a step that another host accepted. A host that was started again takes
// the steps that name its former self over.
func (p *steps) acceptHandOff(q *peer.Request) (any, error) {
	var m handOffRequest
	if err := peer.Decode(q.Body, &m); err != nil {
		return nil, err
	}
	if m.Step == nil || m.Step.Check() != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "step")
	}
	s := m.Step
	if !incarnation.IsOf(m.Host, p.g.s.Name) || p.g.drain.leaving() || p.g.logHealth.silence() > driveMaxLogSilence {
		return nil, outcome.Refuse(outcome.ReasonNotOwner, s.ID)
	}
	t := p.g.Table()
	if t == nil {
		return nil, outcome.Refuse(outcome.ReasonUnreachable, s.ID)
	}
	r := t.Match(s.Host, s.Path)
	if r == nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, s.ID)
	}
	v := p.g.journal.follow(s.ID)
	if m.Host != p.g.self.Host {
		if !p.appendTakeover(v, s.ID, m.Host) {
			return nil, outcome.Refuse(outcome.ReasonNotOwner, s.ID)
		}
		if _, ok := p.confirmDriver(v, s.ID); !ok {
			return nil, nil // another host was faster, and drives the step
		}
	}
	p.startDriving(r, s, v)
	return nil, nil
}
