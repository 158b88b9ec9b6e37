package gateway

import (
	"go.uber.org/zap"

	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
)

// takeOver gives an open step whose driver is gone another one: the model's preferred
// driver, or else this host. If several hosts try, the first takeover record in the log
// counts.
//
// The caller may have learnt that the driver is gone from a view that lacks the driver's
// last records, so the journal is read first: a step that was completed is left alone.
func (p *steps) takeOver(v *view, e stepjournal.Entry) {
	n, known := p.synced(v, e.ID)
	if !known || !n.Open() || n.Driver.Host != e.Driver.Host {
		return
	}
	r, s, ok := p.load(v, e.ID)
	if !ok {
		return
	}
	to := p.g.preferred.successor(p.g.ctx, s.Model, e.Driver)
	if !p.appendTakeover(v, e.ID, e.Driver.Host, to) {
		return
	}
	n, known = p.synced(v, e.ID)
	if !known || n.Driver.Host != to.Host {
		return
	}
	p.g.metrics.steps.WithLabelValues("taken-over").Inc()
	p.g.log.Info("step: taken over", zap.String("id", e.ID), zap.String("from", e.Driver.Host),
		zap.String("driver", to.Host), zap.Int("results", len(n.Results)), zap.Int("items", n.Total))
	if to.Host != p.g.self.Host {
		p.handOff(r, s, v, to)
		return
	}
	p.startDriving(r, s, v)
}

// resume runs a step of which this host is the driver according to the journal. The step's results
// may be among the records that this host has yet to append, or to read back.
func (p *steps) resume(v *view, e stepjournal.Entry) {
	if p.isDriving(e.ID) || v.hasPending() {
		return
	}
	n, known := p.synced(v, e.ID)
	if !known || !n.Open() || n.Driver.Host != p.g.self.Host {
		return
	}
	if r, s, ok := p.load(v, e.ID); ok {
		p.startDriving(r, s, v)
	}
}

// load reads a step from the log and finds its route.
func (p *steps) load(v *view, id string) (*routetable.Route, *stepjournal.Step, bool) {
	s, err := v.loadStep(p.g.ctx, id)
	if err != nil {
		p.g.log.Warn("watch: step cannot be read from the log; not resumed", zap.String("id", id),
			zap.Error(err))
		return nil, nil, false
	}
	t := p.g.Table()
	if t == nil {
		return nil, nil, false
	}
	r := t.Match(s.Host, s.Path)
	return r, s, r != nil
}

// appendTakeover appends a record that a host succeeds previous as a step's driver. false
// means that the record may be missing from the log. The first such record in the log
// counts, so the journal must be read afterwards.
func (p *steps) appendTakeover(v *view, id, previous string, to stepjournal.Driver) bool {
	b, err := stepjournal.TakenOver(id, previous, to)
	if err != nil {
		p.g.log.Error("step: takeover record cannot be encoded", zap.String("id", id), zap.Error(err))
		return false
	}
	if _, err := v.append(p.g.ctx, [][]byte{b}); err != nil {
		p.g.log.Warn("step: append of the takeover record failed", zap.String("id", id), zap.Error(err))
		return false
	}
	return true
}
