package daemon

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/outcome"
)

// metrics holds the Prometheus metrics of one host.
type metrics struct {
	registry *prometheus.Registry
	// refusals counts refused requests by component and reason.
	refusals *prometheus.CounterVec
	// retries counts attempts after the first by component and reason.
	retries *prometheus.CounterVec
	// bugs counts broken invariants.
	bugs *prometheus.CounterVec
	// requests counts accepted requests by kind.
	requests *prometheus.CounterVec
	// chunks and tokens count what was read from engines.
	chunks prometheus.Counter
	tokens prometheus.Counter
	// discarded counts the tokens of streams that ended without a sample.
	discarded prometheus.Counter
	// samples counts samples handed to trainers; dropped counts samples over their
	// staleness bound.
	samples prometheus.Counter
	dropped prometheus.Counter
	// queueTime is the time that a call to a plain service waited at the gate.
	queueTime prometheus.Histogram
	// firstChunk is the time to the first chunk of an engine's stream.
	firstChunk prometheus.Histogram
	// pullWait is the time that a trainer's pull waited with no samples to return.
	pullWait *prometheus.HistogramVec
	// staleness is the number of versions that a sample was behind its trainer.
	staleness *prometheus.HistogramVec
	// step is the time from opening a step to its last acknowledged sample.
	step *prometheus.HistogramVec
	// revision is the release revision in force; members is the number of live
	// members.
	revision prometheus.Gauge
	members  prometheus.Gauge
	streams  prometheus.Gauge
	held     prometheus.Gauge
	owned    prometheus.Gauge
	claims   prometheus.Gauge
}

func newMetrics() *metrics {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	k := factory{r}
	return &metrics{
		registry:   r,
		refusals:   k.counters("refusals_total", "Requests refused, by part and reason.", "part", "reason"),
		retries:    k.counters("retries_total", "Attempts after the first, by part and reason.", "part", "reason"),
		bugs:       k.counters("bugs_total", "Broken invariants, by name.", "invariant"),
		requests:   k.counters("requests_total", "Requests taken, by kind.", "kind"),
		chunks:     k.counter("engine_chunks_total", "Chunks read from engines."),
		tokens:     k.counter("engine_tokens_total", "Tokens read from engines."),
		discarded:  k.counter("tokens_thrown_total", "Tokens of streams that ended without a sample."),
		samples:    k.counter("samples_total", "Samples handed over."),
		dropped:    k.counter("samples_dropped_total", "Samples over their staleness bound."),
		revision:   k.gauge("revision", "Revision of the release notes in force."),
		members:    k.gauge("members", "Entry hosts that count as members."),
		streams:    k.gauge("streams", "Engine streams being read."),
		held:       k.gauge("samples_held", "Finished samples that are not acknowledged."),
		owned:      k.gauge("servers_owned", "Backend servers that this host owns."),
		claims:     k.gauge("claims", "Claims kept."),
		queueTime:  k.histogram("queue_seconds", "Time at the gate of calls to plain services."),
		firstChunk: k.histogram("first_chunk_seconds", "Time to the first chunk of an engine's stream."),
		pullWait:   k.histograms("trainer_idle_seconds", "Time that a pull waited with nothing to hand over.", secondBuckets),
		staleness:  k.histograms("staleness_versions", "Versions that a sample was behind its trainer.", versionBuckets),
		step:       k.histograms("step_seconds", "Time from opening a step to its last sample.", secondBuckets),
	}
}

var (
	// secondBuckets are the buckets for durations, versionBuckets those for
	// staleness.
	secondBuckets  = prometheus.ExponentialBuckets(0.0005, 2, 22)
	versionBuckets = prometheus.LinearBuckets(0, 1, 16)
)

// namespace is the prefix of all metric names.
const namespace = "mulberry"

// factory creates metrics and registers them.
type factory struct{ r *prometheus.Registry }

func (k factory) counters(n, h string, l ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: n, Help: h}, l)
	k.r.MustRegister(c)
	return c
}

func (k factory) counter(n, h string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: n, Help: h})
	k.r.MustRegister(c)
	return c
}

func (k factory) gauge(n, h string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: n, Help: h})
	k.r.MustRegister(g)
	return g
}

func (k factory) histogram(n, h string) prometheus.Histogram {
	x := prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: n, Help: h, Buckets: secondBuckets,
	})
	k.r.MustRegister(x)
	return x
}

// histograms returns a set of histograms with one for each trainer.
func (k factory) histograms(n, h string, b []float64) *prometheus.HistogramVec {
	x := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: n, Help: h, Buckets: b}, []string{"trainer"})
	k.r.MustRegister(x)
	return x
}

// refuse counts a refusal and returns err as an *outcome.Error.
func (m *metrics) refuse(component string, err error) *outcome.Error {
	e := outcome.AsError(err)
	m.refusals.WithLabelValues(component, string(e.Reason)).Inc()
	return e
}

// retry counts a further attempt caused by err.
func (m *metrics) retry(component string, err error) {
	m.retries.WithLabelValues(component, string(outcome.AsError(err).Reason)).Inc()
}

// sink returns a function that counts and logs broken invariants.
func (m *metrics) sink(log func(string, string)) func(bug.Invariant, string) {
	return func(i bug.Invariant, s string) {
		m.bugs.WithLabelValues(string(i)).Inc()
		log(string(i), s)
	}
}
