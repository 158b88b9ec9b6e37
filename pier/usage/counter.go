package usage

import (
	"cmp"
	"slices"
	"time"
)

const (
	// earlySlot is the resolution of the times of requests that are counted before true time is known.
	earlySlot = 100 * time.Millisecond
	// maxUnlearnt is how long after its start a host counts by its own time of day if it could not learn
	// true time.
	maxUnlearnt = 10 * time.Second
	// maxOrganisations bounds the organisations of a window.
	maxOrganisations = 10_000
)

// key identifies a total of a host.
type key struct {
	window       int64
	organisation string
}

// count is a total, and how much of it the holder has acknowledged.
type count struct{ total, acknowledged int64 }

// Counter counts the requests of a host. It is not safe for concurrent use.
type Counter struct {
	windows Windows
	clock   *Clock
	// startedAt is the time since boot at which the counter was made.
	startedAt time.Duration
	totals    map[key]count
	// sizes holds the number of organisations of each window.
	sizes map[int64]int
	// early holds what was counted before true time was known, by slots of the time since boot.
	early map[key]int64
	// reported holds the windows whose reports are in the log.
	reported windowSet
	// holder is the holder whose acknowledgements the totals hold.
	holder string
}

// NewCounter returns a counter that assigns requests to windows by a clock.
func NewCounter(w Windows, c *Clock, boot time.Duration) *Counter {
	return &Counter{
		windows: w, clock: c, startedAt: boot, totals: make(map[key]count), sizes: make(map[int64]int),
		early: make(map[key]int64), reported: newWindowSet(),
	}
}

// Since returns the window in which the counter was made. ok is false while true time is not known.
func (c *Counter) Since() (k int64, ok bool) {
	return c.windows.At(c.clock.Now(c.startedAt)), c.clock.IsLearnt()
}

// Add counts a request of an organisation that was sent at a time since boot. It returns false if the request is
// in no report: that of its window is in the log already, or the window has too many organisations.
func (c *Counter) Add(organisation string, sent time.Duration) bool {
	if !c.clock.IsLearnt() && sent-c.startedAt < maxUnlearnt {
		k := key{int64(sent / earlySlot), organisation}
		if _, ok := c.early[k]; !ok && len(c.early) >= maxOrganisations {
			return false
		}
		c.early[k]++
		return true
	}
	return c.add(key{c.windows.At(c.clock.Now(sent)), organisation}, 1)
}

func (c *Counter) add(k key, n int64) bool {
	t, ok := c.totals[k]
	if c.reported.has(k.window) || !ok && c.sizes[k.window] >= maxOrganisations {
		return false
	}
	if !ok {
		c.sizes[k.window]++
	}
	t.total += n
	c.totals[k] = t
	return true
}

// Settle assigns the requests that were counted before true time was known to their windows, if it is known
// now or the host has waited long enough for it. It also drops windows that are too old. It returns the number of
// requests that are in no report.
func (c *Counter) Settle(boot time.Duration) (lost int64) {
	if c.clock.IsLearnt() || boot-c.startedAt >= maxUnlearnt {
		for k, n := range c.early {
			at := c.clock.Now(time.Duration(k.window)*earlySlot + earlySlot/2)
			if !c.add(key{c.windows.At(at), k.organisation}, n) {
				lost += n
			}
		}
		clear(c.early)
	}
	now := c.clock.Now(boot)
	for k, t := range c.totals {
		if !c.windows.current(k.window, now) {
			lost += t.total
			c.drop(k)
		}
	}
	return lost
}

func (c *Counter) drop(k key) {
	delete(c.totals, k)
	if c.sizes[k.window]--; c.sizes[k.window] <= 0 {
		delete(c.sizes, k.window)
	}
}

// Due returns at most n of the totals that the holder of the lease has not acknowledged, in the order of the
// windows. A call with another holder than the last one makes all totals due again.
func (c *Counter) Due(holder string, n int) []Total {
	if holder != c.holder {
		c.holder = holder
		for k, t := range c.totals {
			c.totals[k] = count{total: t.total}
		}
	}
	var l []Total
	for k, t := range c.totals {
		if t.total > t.acknowledged {
			l = append(l, Total{Window: k.window, Organisation: k.organisation, Count: t.total})
		}
	}
	slices.SortFunc(l, func(a, b Total) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Organisation, b.Organisation))
	})
	return l[:min(n, len(l))]
}

// HasDue reports whether the holder has not acknowledged some total.
func (c *Counter) HasDue() bool {
	for _, t := range c.totals {
		if t.total > t.acknowledged {
			return true
		}
	}
	return len(c.early) > 0
}

// Acknowledged notes that a holder has totals that Due returned.
func (c *Counter) Acknowledged(holder string, l []Total) {
	if holder != c.holder {
		return
	}
	for _, x := range l {
		k := key{x.Window, x.Organisation}
		if t, ok := c.totals[k]; ok {
			c.totals[k] = count{total: t.total, acknowledged: max(t.acknowledged, x.Count)}
		}
	}
}

// Reported notes that the report of a window is in the log, and drops the totals of that window. It returns the
// number of requests that the holder had not acknowledged.
func (c *Counter) Reported(window int64) (lost int64) {
	c.reported.add(window)
	for k, t := range c.totals {
		if k.window == window {
			lost += t.total - t.acknowledged
			c.drop(k)
		}
	}
	return lost
}
