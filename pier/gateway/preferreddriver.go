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

// Where possible, the steps of a model are driven by one host, the model's preferred
// driver: it keeps its connections to the model's engines from step to step, and knows how
// many samples it has at each of them. A wrong or stale preferred driver does no harm: a
// host that cannot hand a step off to it drives the step itself and becomes the preferred
// driver.

const (
	// preferredDriversTopic holds the preferred driver of each model.
	preferredDriversTopic = "keyed.homes"
	// preferredDriversMaxAge is how long the preferred drivers are used before they are
	// read again.
	preferredDriversMaxAge = 2 * time.Second
	// preferredDriversTimeout is how long reading the preferred drivers may delay a step.
	preferredDriversTimeout = 200 * time.Millisecond
	// handOffTimeout is how long a preferred driver may take to accept a step.
	handOffTimeout = 400 * time.Millisecond
	// driveMaxLogSilence is the time without an answer from the log after which a host
	// accepts no steps from others.
	driveMaxLogSilence = 3 * time.Second
)

// kindHandOff is the kind of a message that hands a step off to its model's preferred
// driver.
const kindHandOff = kindDrivingQuery + 1

// handOffRequest hands a step off to its driver.
type handOffRequest struct {
	// Host is the incarnation that the step's record names as its driver.
	Host string            `msgpack:"h"`
	Step *stepjournal.Step `msgpack:"s"`
}

// driverRecord is the record of a model's preferred driver.
type driverRecord struct {
	Driver stepjournal.Driver `msgpack:"d"`
	// Share is the fraction of a processor core that the host may use.
	Share float64 `msgpack:"s"`
}

// preferred is this host's view of the models' preferred drivers.
type preferred struct {
	g  *Gateway
	mu sync.Mutex
	// all holds the preferred drivers by model, as read at readAt.
	all    map[string]driverRecord
	readAt time.Time
}

func newPreferred(g *Gateway) *preferred { return &preferred{g: g, all: make(map[string]driverRecord)} }

// lookup returns the preferred driver of a model. ok is false if there is none or it cannot
// be read within preferredDriversTimeout.
func (p *preferred) lookup(ctx context.Context, model string) (driverRecord, bool) {
	if !p.refresh(ctx) {
		return driverRecord{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.all[model]
	return r, ok
}

// refresh reads the preferred drivers if they are older than preferredDriversMaxAge. It
// returns false if that fails; those known may then be out of date.
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
	all := make(map[string]driverRecord)
	for _, k := range n.Records {
		var v driverRecord
		if err := msgpack.Unmarshal(k.Value, &v); err != nil {
			p.g.metrics.unreadable.WithLabelValues(preferredDriversTopic).Inc()
			p.g.log.Warn("homes: record of a preferred driver cannot be decoded; skipped",
				zap.String("model", k.Key), zap.Error(err))
			continue
		}
		all[k.Key] = v
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all, p.readAt = all, time.Now()
	return true
}

// choose returns the driver for a new step of a model, and reports whether this host should
// become the model's preferred driver. A host replaces a preferred driver with a smaller
// processor share, unless it is itself preferred for some model already.
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

// isPreferred reports whether a host is the preferred driver of any model.
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

// claim makes this host the preferred driver of a model.
func (p *preferred) claim(model string) {
	r := driverRecord{Driver: p.g.self, Share: p.g.s.ProcessorShare}
	b, err := msgpack.Marshal(&r)
	if err != nil {
		p.g.log.Error("homes: record of a preferred driver cannot be encoded; not claimed",
			zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(p.g.ctx, appendTimeout)
	defer cancel()
	_, err = p.g.c.Log.Append(ctx, partitionlog.AppendRequest{
		Partition: partitionlog.Partition{Topic: preferredDriversTopic},
		Records:   [][]byte{partitionlog.EncodeKeyed(model, b)}, ExpectedEnd: partitionlog.NoCondition,
	})
	if err != nil {
		p.g.log.Warn("homes: claim as preferred driver failed", zap.String("model", model),
			zap.Error(err))
		return
	}
	p.mu.Lock()
	p.all[model] = r
	p.mu.Unlock()
	p.g.log.Info("homes: this host is the model's preferred driver", zap.String("model", model),
		zap.Float64("share", r.Share))
}

// reclaim makes a restarted host the preferred driver of the models of its previous
// incarnation. It retries until the preferred drivers can be read.
func (p *preferred) reclaim() {
	for !p.refresh(p.g.ctx) {
		if !backoff.Sleep(p.g.ctx, logRetryDelay) {
			return
		}
	}
	p.mu.Lock()
	var l []string
	for m, r := range p.all {
		if r.Driver.Host != p.g.self.Host && p.isOwnIncarnation(r.Driver) {
			l = append(l, m)
		}
	}
	p.mu.Unlock()
	for _, m := range l {
		p.claim(m)
	}
}

// isOwnIncarnation reports whether a driver is an incarnation of this host, by name and peer
// address: the current one or a previous one.
func (p *preferred) isOwnIncarnation(d stepjournal.Driver) bool {
	return d.Peers == p.g.self.Peers && incarnation.IsOf(d.Host, p.g.s.Name)
}

// handOff hands an accepted step off to its model's preferred driver. If that host does not
// accept it in time, this host takes the step over and becomes the preferred driver.
func (p *steps) handOff(r *routetable.Route, s *stepjournal.Step, v *view, to stepjournal.Driver) {
	ctx, cancel := context.WithTimeout(p.g.ctx, handOffTimeout)
	defer cancel()
	err := p.g.peers.Probe(ctx, to.Peers, kindHandOff, &handOffRequest{Host: to.Host, Step: s}, nil)
	if err == nil {
		return
	}
	p.g.log.Info("step: preferred driver did not accept the hand-off; taking over",
		zap.String("id", s.ID), zap.String("home", to.Host), zap.Error(err))
	if !p.appendTakeover(v, s.ID, to.Host) {
		return
	}
	if _, ok := p.confirmDriver(v, s.ID); ok {
		p.g.preferred.claim(s.Model)
		p.startDriving(r, s, v)
	}
}

// acceptHandOff accepts a step that another host hands off to this one. If the step names a
// previous incarnation of this host as its driver, it first takes the step over.
func (p *steps) acceptHandOff(q *peer.Request) (any, error) {
	var m handOffRequest
	if err := peer.Decode(q.Body, &m); err != nil {
		return nil, err
	}
	if m.Step == nil || m.Step.Validate() != nil {
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
			return nil, nil // another host took the step over first
		}
	}
	p.startDriving(r, s, v)
	return nil, nil
}
