package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/stepplan"
)

const (
	// moveInterval is the time between two searches for samples on slow servers, and the
	// shortest time that a sample stays on a server before it may move.
	moveInterval = 400 * time.Millisecond
	// maxMoves bounds the moves of one sample, maxMovesAtOnce those of a step in one
	// search. The limit per search lets the servers' speeds be measured again in between.
	maxMoves       = 3
	maxMovesAtOnce = 6
)

// moveSamples cancels the runs of samples on slow servers while faster ones have free
// slots, so that they continue there. It does nothing while samples wait to start.
func (d *stepDriver) moveSamples() {
	if len(d.waiting) > 0 || time.Since(d.movedAt) < moveInterval {
		return
	}
	d.movedAt = time.Now()
	t := d.g.Table()
	if t == nil {
		return
	}
	for k, l := range d.movable() {
		runs := make([]stepplan.Run, len(l))
		for i, s := range l {
			runs[i] = stepplan.Run{Server: s.server, MinVersion: d.minVersion(s)}
		}
		for _, i := range d.g.fleet.moves(k, d.step.Model, t.Slots(k), runs, maxMovesAtOnce) {
			s := l[i]
			s.moves++
			d.g.metrics.retries.WithLabelValues(reasonMoved).Inc()
			d.g.log.Info("sample: moves from a slow server", zap.String("id", s.item.ID),
				zap.String("server", s.server))
			s.cancel()
		}
	}
}

// movable returns the running samples that may move, by the service that runs them, ordered by
// the time that they have been on their server, longest first.
func (d *stepDriver) movable() map[string][]*sample {
	r := make(map[string][]*sample)
	for _, s := range d.running {
		if s.moves >= maxMoves || time.Since(s.placedAt) < moveInterval || s.finishing.Load() {
			continue
		}
		r[s.service] = append(r[s.service], s)
	}
	for _, l := range r {
		slices.SortFunc(l, func(a, b *sample) int { return a.placedAt.Compare(b.placedAt) })
	}
	return r
}

// reasonMoved labels the runs that were ended to move the sample to a faster server.
const reasonMoved = "moved"
