package gateway

import (
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/wallclock"
)

const (
	// wallClockInterval is the time between two looks at the time of day.
	wallClockInterval = time.Second
	// wallClockLogInterval is the shortest time between two log lines on its steps.
	wallClockLogInterval = 10 * time.Second
)

// wallClock reports steps of this host's time of day. It is not safe for concurrent use.
type wallClock struct {
	g     *Gateway
	watch wallclock.Watch
	// loggedAt is the time since boot of the last log line, logged is set once there was one,
	// and since is the number of steps without a line after it.
	loggedAt time.Duration
	logged   bool
	since    int
}

func newWallClock(g *Gateway) *wallClock { return &wallClock{g: g} }

func (c *wallClock) run() {
	for c.g.ctx.Err() == nil {
		r := wallclock.Reading{Before: boottime.Now()}
		r.Wall = time.Now()
		r.After = boottime.Now()
		c.look(r)
		backoff.Sleep(c.g.ctx, wallClockInterval)
	}
}

// look counts a step of the time of day and logs it, unless a line was logged just before.
func (c *wallClock) look(r wallclock.Reading) {
	step := c.watch.Look(r)
	if step == 0 {
		return
	}
	c.g.metrics.wallClockSteps.Inc()
	c.g.metrics.wallClockStep.Set(step.Seconds())
	if c.logged && r.Before-c.loggedAt < wallClockLogInterval {
		c.since++
		return
	}
	c.g.log.Warn("host: time of day was stepped", zap.Duration("by", step), zap.Int("steps-since", c.since))
	c.loggedAt, c.logged, c.since = r.Before, true, 0
}
