package gateway

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics holds the counters and histograms of a host.
type metrics struct {
	registry *prometheus.Registry
	journalMetrics
	wallClockMetrics
	placementMetrics
	refusals   *prometheus.CounterVec
	retries    *prometheus.CounterVec
	samples    *prometheus.CounterVec
	steps      *prometheus.CounterVec
	orders     *prometheus.CounterVec
	logErrors  *prometheus.CounterVec
	logLatency prometheus.Gauge
	unreadable *prometheus.CounterVec
	bugs       *prometheus.CounterVec
	viaPeers   *prometheus.CounterVec
	carried    *prometheus.CounterVec
	limits     *prometheus.CounterVec
	limited    *prometheus.CounterVec
	permits    *prometheus.CounterVec
	serverEnds *prometheus.CounterVec
	suspects   *prometheus.CounterVec
	continued  *prometheus.CounterVec
	anew       *prometheus.CounterVec
	origins    *prometheus.CounterVec
	// providerCalls counts calls to the infrastructure provider by call and result.
	providerCalls *prometheus.CounterVec
	usageMetrics
	opened prometheus.Counter
	plain  prometheus.Histogram
	sample prometheus.Histogram
	accept prometheus.Histogram

	// slowCallers counts by result the answers whose callers read more slowly than the server sent.
	slowCallers *prometheus.CounterVec
}

// journalMetrics tells of reads of steps and of what they cost.
type journalMetrics struct {
	stepReads   *prometheus.CounterVec
	checkpoints *prometheus.CounterVec
	// recordsDropped counts by reason the records that the log never takes.
	recordsDropped *prometheus.CounterVec
	// journalBytes counts by purpose the bytes of records of the journal that arrived, bytesGivenUp
	// the bytes that were asked for in pages that did not.
	journalBytes *prometheus.CounterVec
	pagesGivenUp *prometheus.CounterVec
	bytesGivenUp *prometheus.CounterVec
	// stepReadStages is the time of reads of steps by stage.
	stepReadStages *prometheus.HistogramVec
	// stepAnswers counts answered reads of steps by where the answer came from.
	stepAnswers *prometheus.CounterVec
}

// wallClockMetrics tells of steps of the time of day.
type wallClockMetrics struct {
	wallClockSteps prometheus.Counter
	wallClockStep  prometheus.Gauge
}

// placementMetrics tells of the choice of servers.
type placementMetrics struct {
	// serverChoices counts by basis the servers that were chosen for plain requests.
	serverChoices *prometheus.CounterVec
	// chosenSlowdown is the slowdown of the chosen servers that state one, 1 if it is not known at the time.
	chosenSlowdown prometheus.Histogram
	// promptPlacements counts by kind and reason the prompts that may go to some engines only.
	promptPlacements *prometheus.CounterVec
	// promptTokens is the length of the prompts that were sent, promptUnread that of the unread ones of this
	// host at their engines, promptHeld the time for which prompts were held back.
	promptTokens, promptUnread, promptHeld prometheus.Histogram
}

func newMetrics() *metrics {
	r := prometheus.NewRegistry()
	m := &metrics{registry: r, journalMetrics: newJournalMetrics(r), wallClockMetrics: newWallClockMetrics(r), placementMetrics: newPlacementMetrics(r)}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return newCounter(r, name, help, labels...)
	}
	histogram := func(name, help string) prometheus.Histogram {
		h := prometheus.NewHistogram(histogramOpts(name, help))
		r.MustRegister(h)
		return h
	}
	m.refusals = counter("refusals_total", "Requests refused, by reason.", "reason")
	m.retries = counter("retries_total", "Attempts that were followed by another, by reason.", "reason")
	m.samples = counter("samples_total", "Samples that ended, by state.", "state")
	m.steps = counter("steps_total", "What happened to steps on this host.", "event")
	m.orders = counter("orders_total", "Orders to engines, by outcome.", "outcome")
	m.logErrors = counter("log_errors_total", "Failed calls to the log, by topic.", "topic")
	m.viaPeers = counter("log_calls_via_peers_total", "Calls to the log that were made through a peer, by result.", "result")
	m.carried = counter("log_calls_carried_total", "Calls to the log that peers asked this host to make, by result.", "result")
	m.unreadable = counter("unreadable_records_total", "Records that were skipped, by topic.", "topic")
	m.bugs = counter("broken_invariants_total", "Invariants found broken.", "invariant")
	m.limits = counter("server_limits_total", "What answers stated about their servers' limits.", "event")
	m.limited = counter("limited_requests_total", "Requests sent to servers that had stated a limit, by purpose.", "purpose")
	m.permits = counter("limit_permits_total", "Requests to servers with a limit, by what became of the permit to send them.", "result")
	m.serverEnds = counter("lost_connections_total", "Requests whose connection was lost while a server ran them, by what shows whether the server ended.", "evidence")
	m.suspects = counter("suspect_request_events_total", "What this host has told others of requests under which servers ended.", "event")
	m.continued = counter("continued_streams_total", "Streams that a server continued, by kind and by whether it runs the software that began them.", "kind", "software")
	m.anew = counter("samples_begun_anew_total", "Samples whose text was discarded as no server could continue it, by reason.", "reason")
	m.origins = counter("stream_origins_total", "Records of what began callers' streams, by what became of them.", "event")
	m.providerCalls = counter("provider_calls_total", "Calls to the infrastructure provider, by call and result.", "call", "result")
	m.slowCallers = counter("slow_callers_total", "Answers whose callers read more slowly than the server sent, by what became of them.", "result")
	m.usageMetrics = newUsageMetrics(r)
	m.logLatency = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "mulberrypier_log_latency_seconds", Help: "Time that the log takes for a small call of this host.",
	})
	r.MustRegister(m.logLatency)
	m.opened = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "mulberrypier_connections_opened_total", Help: "Connections opened to backend servers.",
	})
	r.MustRegister(m.opened)
	m.plain = histogram("plain_seconds", "Time of plain requests, from their arrival to their answer.")
	m.sample = histogram("sample_seconds", "Time of samples, from their first start to their result.")
	m.accept = histogram("accept_seconds", "Time from the arrival of a step to its acceptance.")
	return m
}

func newJournalMetrics(r *prometheus.Registry) journalMetrics {
	m := journalMetrics{
		stepAnswers:    newCounter(r, "step_read_answers_total", "Answered reads of steps, by whether this host followed the step, another one answered, or the log was read.", "source"),
		stepReads:      newCounter(r, "step_reads_total", "Reads of steps, by call and result.", "call", "result"),
		checkpoints:    newCounter(r, "journal_checkpoints_total", "Checkpoints of partitions of the journal, by what this host did with them.", "event"),
		recordsDropped: newCounter(r, "journal_records_dropped_total", "Records that the log never takes, by reason.", "reason"),
		journalBytes:   newCounter(r, "journal_read_bytes_total", "Bytes of the journal's records that were read, by purpose.", "purpose"),
		pagesGivenUp:   newCounter(r, "journal_pages_given_up_total", "Pages of the journal that were asked for and did not arrive, by purpose and reason.", "purpose", "reason"),
		bytesGivenUp:   newCounter(r, "journal_bytes_given_up_total", "Bytes asked for in pages of the journal that did not arrive, by purpose and reason.", "purpose", "reason"),
		stepReadStages: prometheus.NewHistogramVec(histogramOpts("step_read_stage_seconds", "Time of reads of steps, by stage."), []string{"stage"}),
	}
	r.MustRegister(m.stepReadStages)
	return m
}

func newWallClockMetrics(r *prometheus.Registry) wallClockMetrics {
	m := wallClockMetrics{
		wallClockSteps: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mulberrypier_wall_clock_steps_total", Help: "Steps of this host's time of day by more than a second.",
		}),
		wallClockStep: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mulberrypier_wall_clock_step_seconds", Help: "By how much the last step set the time of day ahead.",
		}),
	}
	r.MustRegister(m.wallClockSteps, m.wallClockStep)
	return m
}

func newPlacementMetrics(r *prometheus.Registry) placementMetrics {
	m := placementMetrics{
		serverChoices: newCounter(r, "server_choices_total", "Servers chosen for plain requests, by what the choice was based on.", "basis"),
		chosenSlowdown: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mulberrypier_chosen_slowdown", Help: "Slowdown of the servers chosen for plain requests that state one.",
			Buckets: []float64{0.5, 1, 1.25, 1.5, 2, 3, 5, 10},
		}),
	}
	m.promptPlacements = newCounter(r, "prompt_placements_total", "Prompts that may go to some engines only as some read long ones, by what for and by reason.", "for", "reason")
	tokens := prometheus.ExponentialBuckets(64, 4, 8)
	m.promptTokens = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "mulberrypier_prompt_tokens", Help: "Tokens of the prompts sent to engines, as far as they are stated.", Buckets: tokens,
	})
	m.promptUnread = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "mulberrypier_unread_prompt_tokens", Help: "Unread prompt tokens of this host at the engine that gets a prompt.", Buckets: tokens,
	})
	m.promptHeld = prometheus.NewHistogram(histogramOpts("prompt_held_seconds", "Time for which long prompts were held back."))
	r.MustRegister(m.chosenSlowdown, m.promptTokens, m.promptUnread, m.promptHeld)
	return m
}

// usageMetrics tells of usage reports.
type usageMetrics struct {
	usageReports  *prometheus.CounterVec
	usageRequests *prometheus.CounterVec
	usageMessages *prometheus.CounterVec
	usageOwed     prometheus.Gauge
}

func newUsageMetrics(r *prometheus.Registry) usageMetrics {
	m := usageMetrics{
		usageReports:  newCounter(r, "usage_windows_total", "Windows of usage, by what became of their reports on this host.", "event"),
		usageRequests: newCounter(r, "usage_requests_total", "Requests of organisations that servers began to run, by whether they were counted in time for a report.", "result"),
		usageMessages: newCounter(r, "usage_messages_total", "Messages with which this host told the holder of the order lease what it counted, by result.", "result"),
		usageOwed: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mulberrypier_usage_windows_owed", Help: "Usage reports that this host, which holds the order lease, has to have accepted.",
		}),
	}
	r.MustRegister(m.usageOwed)
	return m
}

func newCounter(r *prometheus.Registry, name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "mulberrypier_" + name, Help: help}, labels)
	r.MustRegister(c)
	return c
}

// histogramOpts are the options of a histogram of times, in seconds.
func histogramOpts(name, help string) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{
		Name: "mulberrypier_" + name, Help: help, Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
	}
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
