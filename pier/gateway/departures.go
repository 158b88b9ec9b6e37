package gateway

import (
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/stepplan"
)

// reasonTakenAway labels the runs that were ended as their server is taken away.
const reasonTakenAway = "taken-away"

// leaveServers cancels the runs of samples that will not end before their server is taken away, so that they
// continue elsewhere. A sample that ends in time stays, and so does any other one as long as its server has
// time left: the slots elsewhere are scarce until replacements have started.
func (d *stepDriver) leaveServers() {
	departing := d.g.fleet.departures()
	d.departing = false
	if len(departing) == 0 {
		return
	}
	now := time.Now()
	longest := d.longest()
	for _, s := range d.running {
		at, ok := departing[s.server]
		if !ok || s.finishing.Load() {
			continue
		}
		d.departing = true
		if s.leaves == s.server {
			continue
		}
		r := stepplan.LeavingRun{
			Left: at.Sub(now), Tokens: int(s.events.Load()), Expected: s.item.ExpectedTokens, Longest: longest,
			TokenTime: d.g.fleet.pace(s.server),
		}
		if !r.MustLeave() {
			continue
		}
		d.g.metrics.retries.WithLabelValues(reasonTakenAway).Inc()
		d.g.log.Info("sample: leaves a server that is taken away", zap.String("id", s.item.ID), zap.String("server", s.server),
			zap.Duration("left", r.Left), zap.Int("tokens", r.Tokens), zap.Int("expected", r.Expected))
		s.leaves = s.server
		s.cancel()
	}
}

// longest returns the number of tokens of the longest sample of the step, as far as that is known.
func (d *stepDriver) longest() int {
	n := 0
	for _, s := range d.samples {
		n = max(n, s.item.ExpectedTokens, int(s.events.Load()))
	}
	return n
}

// departures returns when servers are taken away, by id. The map must not be changed.
func (f *fleet) departures() map[string]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.departing
}

// pace returns the time between two events of a generation at a server, 0 if it was not measured.
func (f *fleet) pace(server string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if t := f.states[server]; t != nil {
		return t.pace.Mean()
	}
	return 0
}
