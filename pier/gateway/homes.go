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
	homesTopic = "keyed.homes"
	// homeAge is how long a home that was read is relied on.
	homeAge = 2 * time.Second
	// homeLimit is how long the reading of the homes may hold up a step.
	homeLimit = 200 * time.Millisecond
	// handLimit is how long a home may take to take a step.
	handLimit = 400 * time.Millisecond
	// cutOff is how long the log may be silent for a host to drive steps.
	cutOff = 3 * time.Second
)

// kindDrive is the message that hands a step to its model's home.
const kindDrive = kindDriving + 1

// driveOrder hands a step to its driver.
type driveOrder struct {
	// Host is the incarnation that the step's record names as its driver.
	Host string            `msgpack:"h"`
	Step *stepjournal.Step `msgpack:"s"`
}

// home is the record of a model's home.
type home struct {
	Driver stepjournal.Driver `msgpack:"d"`
	// Share is the part of a processor core that the host has.
	Share float64 `msgpack:"s"`
}

// homes is this host's view of the homes.
type homes struct {
	g  *Gateway
	mu sync.Mutex
	// known holds the homes as read at the time read.
	known map[string]home
	read  time.Time
}

func newHomes(g *Gateway) *homes { return &homes{g: g, known: make(map[string]home)} }

// of returns the home of a model; ok is false if there is none or it cannot be
// read in time.
func (h *homes) of(ctx context.Context, model string) (home, bool) {
	if !h.refresh(ctx) {
		return home{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.known[model]
	return r, ok
}

// refresh reads the homes again once they are older than homeAge; false means that
// they could not be read, and those known may be out of date.
func (h *homes) refresh(ctx context.Context) bool {
	h.mu.Lock()
	fresh := time.Since(h.read) < homeAge
	h.mu.Unlock()
	if fresh {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, homeLimit)
	defer cancel()
	n, err := h.g.c.Log.Newest(ctx, homesTopic)
	if err != nil {
		h.g.reach.failed(homesTopic, homesTopic, err)
		return false
	}
	h.g.reach.answered(homesTopic)
	known := make(map[string]home)
	for _, k := range n.Records {
		var v home
		if err := msgpack.Unmarshal(k.Value, &v); err != nil {
			h.g.metrics.unreadable.WithLabelValues(homesTopic).Inc()
			h.g.log.Warn("homes: record cannot be read", zap.String("model", k.Key), zap.Error(err))
			continue
		}
		known[k.Key] = v
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known, h.read = known, time.Now()
	return true
}

// choose returns the driver of a new step of a model, and whether this host should
// become the model's home.
func (h *homes) choose(ctx context.Context, model string) (stepjournal.Driver, bool) {
	self := h.g.self
	r, ok := h.of(ctx, model)
	switch {
	case !ok || r.Driver.Host == "":
		return self, true
	case r.Driver.Host == self.Host:
		return self, false
	case r.Share < h.g.s.ProcessorShare && !h.taken(self.Host):
		return self, true
	}
	return r.Driver, false
}

// taken reports whether a host is the home of any model.
func (h *homes) taken(host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.known {
		if r.Driver.Host == host {
			return true
		}
	}
	return false
}

// claim makes this host the home of a model.
func (h *homes) claim(model string) {
	r := home{Driver: h.g.self, Share: h.g.s.ProcessorShare}
	b, err := msgpack.Marshal(&r)
	if err != nil {
		h.g.log.Error("homes: record cannot be made", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(h.g.ctx, appendLimit)
	defer cancel()
	_, err = h.g.c.Log.Append(ctx, partitionlog.AppendRequest{
		Partition: partitionlog.Partition{Topic: homesTopic}, Records: [][]byte{partitionlog.JoinKeyed(model, b)}, At: partitionlog.NoCondition,
	})
	if err != nil {
		h.g.log.Warn("homes: cannot be claimed", zap.String("model", model), zap.Error(err))
		return
	}
	h.mu.Lock()
	h.known[model] = r
	h.mu.Unlock()
	h.g.log.Info("homes: claimed", zap.String("model", model), zap.Float64("share", r.Share))
}

// reclaim makes a host that was started again the home of the models of its former
// self.
func (h *homes) reclaim() {
	for !h.refresh(h.g.ctx) {
		if !backoff.For(h.g.ctx, retryPause) {
			return
		}
	}
	h.mu.Lock()
	var l []string
	for m, r := range h.known {
		if r.Driver.Host != h.g.self.Host && h.former(r.Driver) {
			l = append(l, m)
		}
	}
	h.mu.Unlock()
	for _, m := range l {
		h.claim(m)
	}
}

// former reports whether a driver is an earlier incarnation of this host.
func (h *homes) former(d stepjournal.Driver) bool {
	return d.Peers == h.g.self.Peers && incarnation.IsOf(d.Host, h.g.s.Name)
}

// hand gives a step that was accepted for its model's home to that host, and takes
// it over if the home does not take it.
func (p *steps) hand(r *routetable.Route, s *stepjournal.Step, v *view, to stepjournal.Driver) {
	ctx, cancel := context.WithTimeout(p.g.ctx, handLimit)
	defer cancel()
	err := p.g.peers.Probe(ctx, to.Peers, kindDrive, &driveOrder{Host: to.Host, Step: s}, nil)
	if err == nil {
		return
	}
	p.g.log.Info("step: its home does not take it", zap.String("id", s.ID), zap.String("home", to.Host), zap.Error(err))
	if !p.follow(v, s.ID, to.Host) {
		return
	}
	if _, ok := p.own(v, s.ID); ok {
		p.g.homes.claim(s.Model)
		p.drive(r, s, v)
	}
}

// take takes a step that another host accepted. A host that was started again takes
// the steps that name its former self over.
func (p *steps) take(q *peer.Request) (any, error) {
	var m driveOrder
	if err := peer.Decode(q.Body, &m); err != nil {
		return nil, err
	}
	if m.Step == nil || m.Step.Check() != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "step")
	}
	s := m.Step
	if !incarnation.IsOf(m.Host, p.g.s.Name) || p.g.drain.leaving() || p.g.reach.silence() > cutOff {
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
	v := p.g.journal.of(s.ID)
	if m.Host != p.g.self.Host {
		if !p.follow(v, s.ID, m.Host) {
			return nil, outcome.Refuse(outcome.ReasonNotOwner, s.ID)
		}
		if _, ok := p.own(v, s.ID); !ok {
			return nil, nil // another host was faster, and drives the step
		}
	}
	p.drive(r, s, v)
	return nil, nil
}
