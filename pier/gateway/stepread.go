package gateway

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/outcome"
)

const (
	// longRead is how long a read of a step may take beyond its wait without a log line.
	longRead = time.Second
	// stepReadLogInterval is the time between two log lines on reads of one step: a trainer reads
	// again at once.
	stepReadLogInterval = 2 * time.Second
)

// readStage is a part of a read of a step. It is also a label value of metrics.
type readStage string

const (
	// stageNone is the time outside all other stages.
	stageNone readStage = ""
	// stageDrivers is the wait for the answers of hosts that may know the step, before the log is read.
	stageDrivers readStage = "drivers"
	// stageReplay is the replay of the step's partition up to its end.
	stageReplay readStage = "replay"
	// stageWait is the wait for new results.
	stageWait readStage = "wait"
	// stageRecords is the read of the records of results or bodies.
	stageRecords readStage = "records"
)

// replayCount counts the pages of a partition that were read to replay it.
type replayCount struct {
	pages, bytes int
	// givenUp is the number of pages that were asked for and did not arrive, the last of them for
	// lastError.
	givenUp   int
	lastError error
}

// stepRead follows a read of a step through its stages. One goroutine after the other enters them.
type stepRead struct {
	reads *stepReads
	// call names the read, id the step.
	call, id string
	// wait is how long the read may wait for new results.
	wait      time.Duration
	startedAt time.Time
	mu        sync.Mutex
	// stage is the stage since enteredAt, took the time of each stage before. ended is set once the
	// read has ended, though parts of it may go on.
	stage     readStage
	enteredAt time.Time
	took      map[readStage]time.Duration
	ended     bool
	// view is the step's partition, before what was read of it when the read began.
	view   *view
	before replayCount
}

// stepReads reports reads of steps that fail or take long. It is safe for concurrent use.
type stepReads struct {
	g  *Gateway
	mu sync.Mutex
	// steps holds the steps that had a log line within stepReadLogInterval.
	steps map[string]loggedReads
}

// loggedReads tells when a line on a step was last logged, and how many were left out since.
type loggedReads struct {
	at    time.Time
	since int
}

func newStepReads(g *Gateway) *stepReads {
	return &stepReads{g: g, steps: make(map[string]loggedReads)}
}

type stepReadKey struct{}

// begin begins a read of a step. The context tells the stages of the read to enterStage.
func (l *stepReads) begin(ctx context.Context, call, id string, wait time.Duration) (context.Context, *stepRead) {
	now := time.Now()
	v := l.g.journal.get(id)
	r := &stepRead{
		reads: l, call: call, id: id, wait: wait, startedAt: now, enteredAt: now,
		took: make(map[readStage]time.Duration), view: v, before: v.replayed(),
	}
	return context.WithValue(ctx, stepReadKey{}, r), r
}

// enterStage notes that the read of a step that ctx belongs to, if any, enters a stage. The
// returned function goes back to the stage before.
func enterStage(ctx context.Context, s readStage) func() {
	r, _ := ctx.Value(stepReadKey{}).(*stepRead)
	if r == nil {
		return func() {}
	}
	before := r.enter(s)
	return func() { r.enter(before) }
}

// withoutStages returns a context of the same read whose stages are not noted.
func withoutStages(ctx context.Context) context.Context {
	return context.WithValue(ctx, stepReadKey{}, (*stepRead)(nil))
}

// enter enters a stage and returns the one before.
func (r *stepRead) enter(s readStage) (before readStage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before = r.stage
	if r.ended {
		return before
	}
	now := time.Now()
	r.took[r.stage] += now.Sub(r.enteredAt)
	r.stage, r.enteredAt = s, now
	return before
}

// longest returns the stage in which the read spent most of its time.
func (r *stepRead) longest() readStage {
	n := stageNone
	for s, d := range r.took {
		if d > r.took[n] {
			n = s
		}
	}
	return n
}

// end ends the read with its error, if any.
func (r *stepRead) end(err error) {
	r.enter(stageNone)
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	m := r.reads.g.metrics
	for s, d := range r.took {
		if s != stageNone {
			m.stepReadStages.WithLabelValues(string(s)).Observe(d.Seconds())
		}
	}
	took := r.enteredAt.Sub(r.startedAt)
	if err == nil {
		m.stepReads.WithLabelValues(r.call, "answered").Inc()
		if took > r.wait+longRead {
			r.reads.report(r, "step: read took long", zap.Duration("took", took))
		}
		return
	}
	e := outcome.AsError(err)
	m.stepReads.WithLabelValues(r.call, string(e.Reason)).Inc()
	r.reads.report(r, "step: read failed", zap.Duration("took", took), zap.String("reason", string(e.Reason)),
		zap.String("outcome", string(e.Outcome)), zap.String("at", e.Detail))
}

// fields returns what the read spent its time on.
func (r *stepRead) fields() []zap.Field {
	n := r.view.replayed()
	f := []zap.Field{
		zap.String("id", r.id), zap.String("call", r.call), zap.Duration("wait", r.wait),
		zap.String("stage", string(r.longest())), zap.Int("part", r.view.n),
		zap.Int("pages", n.pages-r.before.pages), zap.Int("bytes", n.bytes-r.before.bytes),
		zap.Int("pages-given-up", n.givenUp-r.before.givenUp),
	}
	for _, s := range []readStage{stageDrivers, stageReplay, stageWait, stageRecords} {
		if d, ok := r.took[s]; ok {
			f = append(f, zap.Duration(string(s), d))
		}
	}
	if n.givenUp > r.before.givenUp {
		f = append(f, zap.NamedError("last-page", n.lastError))
	}
	next, end := r.view.position()
	return append(f, zap.Int64("next", next), zap.Int64("end", end),
		zap.Duration("log-latency", r.reads.g.peerLog.latency()))
}

// report logs a line on a read, unless one on the step was logged within stepReadLogInterval.
func (l *stepReads) report(r *stepRead, message string, f ...zap.Field) {
	since, ok := l.due(r.id, time.Now())
	if !ok {
		return
	}
	f = append(r.fields(), f...)
	l.g.log.Info(message, append(f, zap.Int("left-out", since))...)
}

// due reports whether a line on a step is due, and how many were left out since the last one.
func (l *stepReads) due(id string, now time.Time) (since int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.steps[id]
	if now.Sub(n.at) < stepReadLogInterval {
		n.since++
		l.steps[id] = n
		return 0, false
	}
	for k, x := range l.steps {
		if now.Sub(x.at) >= stepReadLogInterval {
			delete(l.steps, k)
		}
	}
	l.steps[id] = loggedReads{at: now}
	return n.since, true
}
