package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/incarnation"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
)

const (
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
		zap.String("id", s.ID), zap.String("driver", to.Host), zap.Error(err))
	if p.appendTakeover(v, s.ID, to.Host, p.g.self) && p.drivenHere(v, s) {
		p.g.preferred.claim(s.Model)
		p.startDriving(r, s, v)
	}
}

// acceptHandOff accepts a step that another host hands off to this one. If the step names a
// previous incarnation of this host as its driver, it first takes the step over.
func (p *steps) acceptHandOff(ctx context.Context, q *peer.Request) (any, error) {
	var m handOffRequest
	if err := peer.Decode(q.Body, &m); err != nil {
		return nil, err
	}
	if m.Step == nil || m.Step.Validate() != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "step")
	}
	s := m.Step
	if !incarnation.IsOf(m.Host, p.g.s.Name) || p.g.drain.leaving() || !p.reachesLog(ctx) {
		return nil, outcome.Refuse(outcome.ReasonNotOwner, s.ID)
	}
	if !p.hasMemory(s) {
		return nil, outcome.Refuse(outcome.ReasonMemory, s.ID)
	}
	t := p.g.Table()
	if t == nil {
		return nil, outcome.Refuse(outcome.ReasonUnreachable, s.ID)
	}
	r := t.Match(s.Host, s.Path)
	if r == nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, s.ID)
	}
	end := p.start(s.ID)
	p.g.wg.Go(func() {
		defer end()
		p.driveHandedOff(r, s, m.Host)
	})
	return nil, nil
}

// reachesLog reports whether the log answers this host. If it has not for some time it is
// asked: right after an outage, other hosts may be ahead of this one.
func (p *steps) reachesLog(ctx context.Context) bool {
	if p.g.logHealth.silence() <= driveMaxLogSilence {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, handOffTimeout/2)
	defer cancel()
	_, err := p.g.c.Log.Members(ctx, watchGroup)
	return err == nil
}

// driveHandedOff drives a step whose record names an incarnation of this host as its driver,
// unless another record of the step came first or another host took it over.
func (p *steps) driveHandedOff(r *routetable.Route, s *stepjournal.Step, host string) {
	v := p.g.journal.follow(s.ID)
	if host != p.g.self.Host && !p.appendTakeover(v, s.ID, host, p.g.self) {
		return
	}
	if p.drivenHere(v, s) {
		p.startDriving(r, s, v)
	}
}
