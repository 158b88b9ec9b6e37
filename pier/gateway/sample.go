package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/access"
	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/promptload"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
)

const (
	// firstEventTimeout bounds the time until an engine's first event.
	firstEventTimeout = 2500 * time.Millisecond
	// eventTimeout bounds the time between two events; a load of weights pauses an engine
	// for about a second.
	eventTimeout = 1500 * time.Millisecond
	// refusedBackoff is the time for which an engine that refused a sample for lack of
	// capacity gets no others.
	refusedBackoff = 60 * time.Millisecond
	// rerunDelay is the delay before a sample whose run failed may run again.
	rerunDelay = 20 * time.Millisecond
	// memoryDelay is the delay before a sample may run again for whose text the host had no memory.
	memoryDelay = 500 * time.Millisecond
	// paceWindow is the number of events over which a server's pace is measured.
	paceWindow = 8
)

// sample is one item of a step on its way to a result. If a run breaks off, the sample
// continues after its last complete event, on a server of the software that began it.
type sample struct {
	d *stepDriver
	// at is the index of the item in its step.
	at   int
	item *stepjournal.Item
	// services are those that may generate the sample by the configuration table, in the order in
	// which it uses them.
	services []string
	table    *routetable.Table
	// queuedAt is when this host became the step's driver, startedAt when the first run
	// started, scoringAt when the generation was complete.
	queuedAt  time.Time
	startedAt time.Time
	scoringAt time.Time
	// server is the ID of the server that runs the sample since placedAt, service its service;
	// runs is the number of runs, moves the number of those that were ended to move the sample to a
	// faster server.
	server   string
	service  string
	placedAt time.Time
	runs     int
	moves    int
	// leaves is the ID of the server whose run was ended as that server is taken away, until the sample runs
	// elsewhere.
	leaves string
	// finishing is set once the generation is complete, after which a move would gain
	// nothing.
	finishing atomic.Bool
	// pinned is the version that must generate the whole sample, if its route allows only
	// one version per sample; 0 means any.
	pinned atomic.Int64
	// savedAt is when the progress was last appended to the journal, or the run started.
	savedAt time.Time
	// savedFailures is the sum of failures and scoreFailures that the journal has.
	savedFailures int
	cancel        context.CancelFunc

	// prompt is what the next engine reads before it generates.
	prompt promptload.Prompt
	// text holds the data of the complete events so far, lastID is the ID of the last one.
	text   sampleText
	lastID int64
	// events is lastID for other goroutines than that of the run.
	events atomic.Int64
	// needsWhole is set once the host had no memory for more of the text: it is generated again only with
	// memory for all that it may become.
	needsWhole bool
	// continuedAfter is the ID of the event after which the last run continued, 0 if it
	// started from the beginning.
	continuedAfter int64
	// writer is the software that generated the text; generated is how long that took, and
	// brokenAt when the last run ended.
	writer    directory.Software
	generated time.Duration
	brokenAt  time.Time
	// complete is set when the generation ended properly.
	complete bool
	// failures counts the runs, scoreFailures the calls to the scorer, at whose end a server
	// answered that it failed.
	failures      failedAttempts
	scoreFailures failedAttempts
	// result is set when the sample is done, without its text.
	result *stepjournal.Result
}

func newSample(d *stepDriver, at int) *sample {
	return &sample{
		d: d, at: at, item: &d.step.Items[at], queuedAt: time.Now(),
		text: newSampleText(d.g.texts, d.g.s.Log.RecordBytes-recordReserve),
	}
}

// run has an engine generate the rest of the text, unless that is complete, and has the
// text scored. It leaves result nil if the sample has to run again. The engine is not asked as long as the
// host has no memory for a text that once did not fit.
func (s *sample) run(ctx context.Context, u *reservation) {
	if s.needsWhole && s.lastID == 0 && !s.text.makeWhole() {
		u.release()
		backoff.Sleep(ctx, memoryDelay)
		return
	}
	s.runs++
	s.savedAt = time.Now()
	if !s.complete {
		err := s.generate(ctx, u)
		s.runEnded(u, time.Now())
		u.release()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			s.failed(ctx, u, err)
			return
		}
		u.succeeded()
		if !s.complete {
			return
		}
	} else {
		u.release()
	}
	s.score(ctx)
}

// failed handles the failure of a run.
func (s *sample) failed(ctx context.Context, u *reservation, err error) {
	e := outcome.AsError(err)
	s.d.g.metrics.retries.WithLabelValues(string(e.Reason)).Inc()
	if withheld(err) {
		return
	}
	s.d.g.log.Info("sample: run failed", zap.String("id", s.item.ID), zap.String("server", u.s.ID),
		zap.String("reason", string(e.Reason)), zap.String("at", e.Detail), zap.Int64("events", s.lastID),
		zap.Int("failures", s.failures.count()))
	switch e.Reason {
	case outcome.ReasonQueueFull, outcome.ReasonBadRequest:
	case outcome.ReasonMemory:
		backoff.Sleep(ctx, memoryDelay)
	default:
		u.failed(string(e.Reason))
	}
	if e.Reason == outcome.ReasonBadRequest || s.failures.reached(s.d.route.Attempts) {
		s.markDead()
		return
	}
	s.saveFailures()
	backoff.Sleep(ctx, rerunDelay)
}

// runEnded records the end of a run. Its server may have started again as other software before
// the run began, without this host's knowledge: then it is not known what generated the text.
func (s *sample) runEnded(u *reservation, now time.Time) {
	s.generated += now.Sub(s.placedAt)
	s.brokenAt = now
	if s.lastID > s.continuedAfter && u.replaced() && (s.continuedAfter > 0 || !s.complete) {
		s.beginAnew(anewServerReplaced)
	}
	if s.lastID == 0 {
		s.text.drop()
	}
}

func (s *sample) markDead() {
	s.result = &stepjournal.Result{Step: s.d.step.ID, ItemIndex: s.at, ID: s.item.ID, State: stepjournal.Dead}
}

// finalResult returns the result with its text.
func (s *sample) finalResult() *stepjournal.Result {
	r := *s.result
	if r.State == stepjournal.Completed {
		r.Text = s.text.String()
	}
	return &r
}

// generate runs the sample on an engine until the generation is complete. It fails with
// connection-silent if the engine sends no event for too long.
func (s *sample) generate(ctx context.Context, u *reservation) error {
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(firstEventTimeout, cancel)
	defer watchdog.Stop()
	err := s.stream(runCtx, u, func() { watchdog.Reset(eventTimeout) })
	if err != nil && runCtx.Err() != nil && ctx.Err() == nil {
		return outcome.Ambiguous(outcome.ReasonSilent, u.s.ID, err)
	}
	return err
}

// stream sends the request of a run and reads its events. It calls alive after each.
func (s *sample) stream(ctx context.Context, u *reservation, alive func()) error {
	r, err := s.d.g.pool.Do(ctx, s.request(u))
	if err != nil {
		return err
	}
	defer r.Close()
	u.observeLoad(r)
	if err := s.checkStatus(ctx, r, u); err != nil {
		return err
	}
	v, ok := r.Version()
	if !ok {
		return outcome.Ambiguous(outcome.ReasonUnversioned, u.s.ID, nil)
	}
	u.version(s.d.step.Model, v)
	s.accepted(u)
	return s.readEvents(r, u, v, alive)
}

// accepted records which software generates the events of a run that has begun.
func (s *sample) accepted(u *reservation) {
	runs := u.s.Runs()
	s.continuedAfter = s.lastID
	if s.lastID == 0 {
		s.writer = runs
		return
	}
	bug.Assert(s.writer == runs, bug.OneSoftware, "item %s: begun by %v, continued by %v", s.item.ID, s.writer, runs)
	s.d.g.metrics.continued.WithLabelValues("sample", continuedAt(s.writer, runs)).Inc()
	s.d.g.log.Info("sample: continues", zap.String("id", s.item.ID), zap.String("server", u.s.ID),
		zap.String("software", runs.Version), zap.String("begun-by", s.writer.Version), zap.Int64("events", s.lastID),
		zap.Bool("server-replaced", u.replaced()))
}

// readEvents reads the events of a run and calls alive after each. They were generated by
// version v, until an event states another version for itself and those that follow.
func (s *sample) readEvents(r *backend.Response, u *reservation, v int64, alive func()) error {
	e := newEvents(r, s.d.g.c.Dialect.EventVersion)
	var mark time.Time
	for i := 0; ; i++ {
		n, err := e.next()
		if errors.Is(err, io.EOF) {
			return s.ended(r)
		}
		if err != nil {
			return err
		}
		alive()
		u.promptRead()
		if n.version > 0 {
			v = n.version
		}
		if err := s.appendEvent(n, v); err != nil {
			return err
		}
		if i%paceWindow == 0 {
			now := time.Now()
			if i > 0 {
				u.paced(now.Sub(mark) / paceWindow)
			}
			mark = now
			s.save(now)
		}
	}
}

// ended handles the proper end of an answer. One without events ends a text that was continued only if
// its head is that of a stream.
func (s *sample) ended(r *backend.Response) error {
	if s.lastID > 0 && s.lastID == s.continuedAfter && !statesEvents(r.Header) {
		s.beginAnew(anewNoEvents)
	}
	s.complete = s.lastID > 0
	if !s.complete {
		return outcome.Ambiguous(outcome.ReasonShortAnswer, s.item.ID, nil)
	}
	return nil
}

// appendEvent adds an event that was generated by version v. It fails if the version is too
// old or the event is not the next one.
func (s *sample) appendEvent(n *event, v int64) error {
	if v < s.d.step.MinVersion {
		return outcome.Ambiguous(outcome.ReasonStaleVersion, s.item.ID, nil)
	}
	if n.id != s.lastID+1 {
		return outcome.Ambiguous(outcome.ReasonTokenGap, s.item.ID, nil)
	}
	if s.d.route.SingleVersion && s.text.hasOther(v) {
		s.reset()
		return outcome.Ambiguous(outcome.ReasonStaleVersion, s.item.ID, nil)
	}
	if err := s.text.add(n.data, v); err != nil {
		s.discard(err)
		return err
	}
	if s.d.route.SingleVersion {
		s.pinned.Store(v)
	}
	s.setLast(n.id)
	return nil
}

// setLast sets the ID of the last event.
func (s *sample) setLast(id int64) {
	s.lastID = id
	s.events.Store(id)
}

// discard discards a text that cannot grow. One for which the host has no memory leaves its room to
// others, so that some of them are finished, and begins again only with room for a text of full length:
// then the run is not in vain a second time.
func (s *sample) discard(why error) {
	if outcome.HasReason(why, outcome.ReasonMemory) {
		s.needsWhole = true
		s.beginAnew(anewNoMemory)
		return
	}
	s.reset()
}

// recordReserve is the part of a record of the journal that is kept for all but the text of a result.
const recordReserve = 4 << 10

// reset discards what was generated.
func (s *sample) reset() {
	s.text.drop()
	s.setLast(0)
	s.writer, s.generated, s.complete = directory.Software{}, 0, false
	s.pinned.Store(0)
}

func (s *sample) request(u *reservation) backend.Request {
	d := s.d.g.c.Dialect
	h := make(http.Header, len(s.item.Header)+3)
	for k, v := range s.item.Header {
		h[k] = []string{v}
	}
	s.d.g.identify(h, s.d.route, s.d.step.Organisation, access.KindSample)
	h[d.ExpectedIncarnation] = []string{u.s.ID}
	purpose := backend.PurposeSample
	if s.lastID > 0 {
		purpose = backend.PurposeResume
		h[d.ResumeAfter] = []string{strconv.FormatInt(s.lastID, 10)}
	}
	return backend.Request{
		Server: u.s.ID, Address: u.s.Address, Born: u.s.Born, Method: http.MethodPost, Target: s.item.Path,
		Host: s.d.step.Host, ID: s.item.ID, Header: h, Body: s.item.Body, Purpose: purpose, SameIncarnation: true,
		MaxIdle: s.d.g.maxIdle(u.s.Service), Check: u.check,
	}
}

// checkStatus returns the failure that the status of an answer stands for, or nil. A rejection of the
// item counts only if its answer is whole, as the item is given up for it.
func (s *sample) checkStatus(ctx context.Context, r *backend.Response, u *reservation) error {
	if r.Status == http.StatusOK && statesOther(r.Header) {
		return outcome.Ambiguous(outcome.ReasonNotEvents, u.s.ID+" "+r.Header.Get("Content-Type"), nil)
	}
	if r.Status == http.StatusOK {
		u.accepted()
		return nil
	}
	brokenOff := r.Discard(maxBufferedBytes, discardTimeout)
	switch {
	case r.NotRun():
		u.refused(r, refusedBackoff)
		if brokenOff != nil {
			s.d.g.recordFailure(ctx, u, bodyError(u.s.ID, brokenOff))
		}
		return outcome.RefuseWithCause(outcome.ReasonQueueFull, u.s.ID, brokenOff)
	case r.Status == http.StatusUnprocessableEntity && brokenOff != nil:
		return bodyError(u.s.ID, brokenOff)
	case r.Status == http.StatusUnprocessableEntity:
		return outcome.Ambiguous(outcome.ReasonBadRequest, u.s.ID, nil)
	}
	s.failures.observe(r.Status)
	return outcome.Ambiguous(outcome.ReasonServerError, u.s.ID+" "+strconv.Itoa(r.Status), brokenOff)
}

// log logs how the sample ended and how long each phase took.
func (s *sample) log() {
	now := time.Now()
	s.d.g.log.Info("sample: ended", zap.String("id", s.item.ID), zap.String("step", s.d.step.ID),
		zap.String("state", string(s.result.State)), zap.String("server", s.server),
		zap.String("software", s.writer.Version), zap.Int("runs", s.runs), zap.Int64("events", s.lastID),
		zap.Int64s("versions", s.result.Versions), zap.Int("hint", s.item.ExpectedTokens),
		zap.Duration("waited", s.startedAt.Sub(s.queuedAt)),
		zap.Duration("generated", s.scoringAt.Sub(s.startedAt)),
		zap.Duration("scored", now.Sub(s.scoringAt)))
}
