package usage

import (
	"maps"
	"slices"
	"time"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/provider"
)

const (
	// settleTime is how long a new holder waits for the totals of the hosts.
	settleTime = time.Second
	// settleShare is the part of the time until a report is due after which a new holder waits only for
	// minSettleTime: by then most totals have arrived, and without them its counts would be wrong for good.
	settleShare   = 0.8
	minSettleTime = 600 * time.Millisecond
	// maxTotals bounds the totals that a holder keeps, one for each host, window and organisation: at 26,000
	// requests a second, three windows in which each request has a total of its own.
	maxTotals = 400_000
)

// CollectorConfig configures a Collector.
type CollectorConfig struct {
	Windows Windows
	// Due is how long after the end of a window its report is due. Its counts are decided after half of that.
	Due time.Duration
}

// source is a total's host, an incarnation, and its organisation.
type source struct{ host, organisation string }

// report is a report that is in the log.
type report struct {
	provider.UsageReport
	// failed is set once this host has sent the report without success, accepted once the provider accepted it.
	failed, accepted bool
}

// Collector adds the totals of hosts, decides reports, and holds those that are to be accepted by the provider.
// Every host has one, so that it knows the reports in the log when it takes the lease. It is not safe for
// concurrent use.
type Collector struct {
	c CollectorConfig
	// totals holds the totals of windows that are not decided; size is their number.
	totals map[int64]map[source]int64
	size   int
	// reports holds the newest reports in the log, reported all windows with one.
	reports  map[int64]*report
	reported windowSet
	// first is the first window of which a host states that it counted, or that has a report; known is set once
	// there is one.
	first int64
	known bool
}

// NewCollector returns a collector that knows no totals and no reports.
func NewCollector(c CollectorConfig) *Collector {
	return &Collector{
		c: c, totals: make(map[int64]map[source]int64), reports: make(map[int64]*report), reported: newWindowSet(),
	}
}

// Add takes totals of a host. Those of windows that are reported, and at a time that is not zero those of windows too
// old or in the future, are ignored. It fails if there are too many; some may have been taken then.
func (c *Collector) Add(host string, l []Total, now time.Time) error {
	for _, t := range l {
		if c.reported.has(t.Window) || !now.IsZero() && !c.c.Windows.current(t.Window, now) || t.Count <= 0 {
			continue
		}
		m := c.totals[t.Window]
		s := source{host, t.Organisation}
		old, ok := m[s]
		if !ok && c.size >= maxTotals {
			return outcome.Refuse(outcome.ReasonQueueFull, "totals of usage")
		}
		if m == nil {
			m = make(map[source]int64)
			c.totals[t.Window] = m
		}
		if !ok {
			c.size++
		}
		m[s] = max(old, t.Count)
	}
	return nil
}

// Since notes that a host counts since a window.
func (c *Collector) Since(k int64) {
	if !c.known || k < c.first {
		c.first, c.known = k, true
	}
}

// Recorded notes a report that is in the log. A second report of a window is ignored: all holders send the first.
func (c *Collector) Recorded(r provider.UsageReport) {
	k := r.Window
	c.size -= len(c.totals[k])
	delete(c.totals, k)
	c.Since(k)
	if c.reported.has(k) {
		return
	}
	c.reported.add(k)
	c.reports[k] = &report{UsageReport: r}
	for x := range c.reports {
		if x < c.reported.newest-2*int64(MaxAge/c.c.Windows.Length)-1 {
			delete(c.reports, x)
		}
	}
}

// Next returns the report of the oldest window that is to be decided now by a host that has held the lease for a
// time. ok is false if there is none. Nothing is decided before Recorded is called with the report.
func (c *Collector) Next(now time.Time, held time.Duration) (r provider.UsageReport, ok bool) {
	c.DropOld(now)
	if !c.known {
		return r, false
	}
	for k := max(c.first, c.c.Windows.At(now.Add(-MaxAge))); c.isDue(k, now, held); k++ {
		if !c.reported.has(k) && c.c.Windows.current(k, now) {
			return provider.UsageReport{Window: k, Counts: c.counts(k)}, true
		}
	}
	return r, false
}

// isDue reports whether the counts of a window are decided now unless they have been.
func (c *Collector) isDue(k int64, now time.Time, held time.Duration) bool {
	since := now.Sub(c.c.Windows.End(k))
	switch {
	case held < minSettleTime:
		return false
	case held < settleTime:
		return since >= time.Duration(settleShare*float64(c.c.Due))
	}
	return since >= c.c.Due/2
}

// counts returns the counts of a window.
func (c *Collector) counts(k int64) map[string]int64 {
	r := make(map[string]int64)
	for s, n := range c.totals[k] {
		r[s.organisation] += n
	}
	return r
}

// DropOld drops the totals of windows that are too old to be reported.
func (c *Collector) DropOld(now time.Time) {
	for k, m := range c.totals {
		if !c.c.Windows.current(k, now) {
			c.size -= len(m)
			delete(c.totals, k)
		}
	}
}

// Expire drops the reports that are too old. It returns those that this host has sent without success.
func (c *Collector) Expire(now time.Time) []provider.UsageReport {
	var l []provider.UsageReport
	for _, k := range slices.Sorted(maps.Keys(c.reports)) {
		if now.Before(c.c.Windows.End(k).Add(MaxAge)) {
			continue
		}
		if r := c.reports[k]; r.failed && !r.accepted {
			l = append(l, r.UsageReport)
		}
		delete(c.reports, k)
	}
	return l
}

// Owed returns the reports in the log that are not known to be accepted, the oldest first.
func (c *Collector) Owed() []provider.UsageReport {
	var l []provider.UsageReport
	for _, k := range slices.Sorted(maps.Keys(c.reports)) {
		if !c.reports[k].accepted {
			l = append(l, c.reports[k].UsageReport)
		}
	}
	return l
}

// Answered notes whether the provider has accepted the report of a window.
func (c *Collector) Answered(k int64, accepted bool) {
	r := c.reports[k]
	if r == nil {
		return
	}
	r.accepted = r.accepted || accepted
	r.failed = !r.accepted
}
