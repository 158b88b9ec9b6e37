package gateway

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/capacityplan"
)

const (
	// scalingStateLifetime is how long the state of the last plan is shown: only the holder of the order lease plans.
	scalingStateLifetime = 3 * time.Second
	// maxScalingSeries bounds the series of a metric.
	maxScalingSeries = 1000
)

// scalingState is what the last plan for a service saw and decided.
type scalingState struct {
	service string
	summary capacityplan.Summary
	targets map[capacityplan.Group]int
	servers map[capacityplan.Group]capacityplan.Servers
}

// scalingMetrics shows the state of the last plans. It is safe for concurrent use.
type scalingMetrics struct {
	// orders counts decisions by reason.
	orders                         *prometheus.CounterVec
	targets, servers, open, needed *prometheus.Desc

	mu    sync.Mutex
	state []scalingState
	until time.Duration
}

func newScalingMetrics(r *prometheus.Registry) *scalingMetrics {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("mulberrypier_"+name, help, labels, nil)
	}
	m := &scalingMetrics{
		orders:  newCounter(r, "scaling_decisions_total", "Decisions on the number of servers, by reason.", "reason"),
		targets: desc("scaling_target_servers", "Servers ordered, at the holder of the order lease.", "service", "domain", "kind"),
		servers: desc("scaling_ready_servers", "Registered servers that take work, at the holder of the order lease.", "service", "domain", "kind"),
		open:    desc("scaling_open_samples", "Samples and requests that run or wait, at the holder of the order lease.", "service"),
		needed:  desc("scaling_needed_servers", "Servers needed, at the holder of the order lease.", "service"),
	}
	r.MustRegister(m)
	return m
}

// show shows the state of all services from now on.
func (m *scalingMetrics) show(l []scalingState, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state, m.until = l, now+scalingStateLifetime
}

// Describe implements prometheus.Collector.
func (m *scalingMetrics) Describe(c chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{m.targets, m.servers, m.open, m.needed} {
		c <- d
	}
}

// Collect implements prometheus.Collector.
func (m *scalingMetrics) Collect(c chan<- prometheus.Metric) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if boottime.Now() > m.until {
		return
	}
	left := maxScalingSeries
	for _, s := range m.state {
		if left -= len(s.targets) + 1; left < 0 {
			return
		}
		c <- gauge(m.open, s.summary.Open, s.service)
		c <- gauge(m.needed, s.summary.Needed, s.service)
		for k, n := range s.targets {
			kind := "ordinary"
			if k.Reclaimable {
				kind = "reclaimable"
			}
			c <- gauge(m.targets, n, s.service, k.Domain, kind)
			c <- gauge(m.servers, s.servers[k].Ready, s.service, k.Domain, kind)
		}
	}
}

func gauge(d *prometheus.Desc, v int, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(v), labels...)
}
