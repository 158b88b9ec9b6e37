package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/streamorigin"
)

// A caller whose stream broke off takes it up at any host. Only a server of the software that
// began the stream may continue it, so the host that passes its first events on tells all others
// through a topic of the log. Package streamorigin decides what the records show.

const (
	// maxOrigins bounds the streams whose origins a host keeps in memory, and the records that wait for
	// their append.
	maxOrigins = 20000
	// maxOriginsAppended bounds the records of one append.
	maxOriginsAppended = 500
	// originReadTimeout bounds the time that a caller waits for a look-up of its stream in a quick log.
	originReadTimeout = 600 * time.Millisecond
	// originRetryAfter is the Retry-After time given to callers while the record of their stream
	// cannot be read or may still be on its way.
	originRetryAfter = 500 * time.Millisecond
	// originConfirmTimeout is how long a host waits until it is known what began a stream.
	originConfirmTimeout = 5 * time.Second
	// maxResumedTokens bounds the events after which a stream is taken up, as far as they count as tokens that
	// the server has to read.
	maxResumedTokens = 1 << 20
	// originRefreshes is how often the record of a stream is appended within the retention of
	// the log, as long as the stream lasts.
	originRefreshes = 3
)

// streams knows which software began callers' streams. It is safe for concurrent use.
type streams struct {
	g          *Gateway
	partitions []*originPartition

	mu     sync.Mutex
	ledger *streamorigin.Ledger
}

// originPartition is one partition of the topic.
type originPartition struct {
	mu sync.Mutex
	// reading is the reading in progress, nil if there is none.
	reading *originReading
	// next is the offset to read from. The reading in progress uses it.
	next int64

	records appendQueue[streamorigin.Record]
}

// originReading is a reading of a partition up to its end, for all that wait for it.
type originReading struct {
	startedAt time.Time
	// done is closed at the end. After it, err is the outcome.
	done chan struct{}
	err  error
}

func newStreams(g *Gateway) *streams {
	s := &streams{g: g, ledger: streamorigin.NewLedger(maxOrigins)}
	for n := range g.s.Log.Partitions {
		s.partitions = append(s.partitions, &originPartition{records: appendQueue[streamorigin.Record]{
			g: g, at: partitionlog.Partition{Topic: streamorigin.Topic, Number: n}, maxWaiting: max(maxOrigins/g.s.Log.Partitions, 1),
			maxAtOnce: maxOriginsAppended, encode: streamorigin.Encode,
			dropped: func() { g.metrics.origins.WithLabelValues("dropped").Inc() },
		}})
	}
	return s
}

// sendStream sends the request of a stream to a server: any server of its service if the stream
// begins with it, and one of the software that began the stream otherwise.
func (s *streams) sendStream(ctx context.Context, c *plainCall) (*Answer, error) {
	t, err := s.takeUp(ctx, c)
	if err != nil {
		s.g.log.Info("stream: not taken up", zap.String("id", c.ID), zap.String("resumes", t.resumes),
			zap.Int64("after-event", t.after), zap.Error(err))
		return nil, err
	}
	c.writer = t.origin.Writer
	if n := backend.PromptTokens(c.Header.Get(s.g.c.Dialect.TokenCounts)); n > 0 {
		c.promptTokens = n + int(min(t.after, maxResumedTokens))
	}
	a, err := s.g.sendOrTry(ctx, c)
	if err != nil {
		return nil, err
	}
	if err := s.checkContinuation(t, a); err != nil {
		s.g.log.Info("stream: the server does not go on with it", zap.String("id", c.ID), zap.String("resumes", t.resumes),
			zap.Int64("after-event", t.after), zap.String("server", a.Server.ID), zap.Int("status", a.Status), zap.Error(err))
		a.Close()
		return nil, err
	}
	s.answered(c, t, a)
	return a, nil
}

// resumption is what a request for a stream says of the stream that it continues, and what is known
// of that. It is empty for a new stream.
type resumption struct {
	// resumes is the id of the request that brought the stream's first event, after the id of
	// the last event that the caller has.
	resumes string
	after   int64
	// origin is the record of the stream that is continued, and source tells how it is known.
	origin streamorigin.Record
	source string
}

// The values of resumption.source.
const (
	sourceMemory = "memory"
	sourceLog    = "log"
)

// takeUp finds out which stream a request continues and what began it. It fails if the request
// must not be sent to any server.
func (s *streams) takeUp(ctx context.Context, c *plainCall) (resumption, error) {
	t, err := s.parse(c.Header)
	if err != nil || t.resumes == "" && t.after == 0 {
		return t, err
	}
	if t.resumes == "" {
		return t, outcome.Refuse(outcome.ReasonUnknownOrigin, "the request names no stream")
	}
	var state streamorigin.State
	t.source = sourceMemory
	t.origin, state = s.find(t.resumes, c)
	if state == streamorigin.Missing {
		t.source = sourceLog
		if err := s.read(ctx, t.resumes); err != nil {
			return t, outcome.RefuseWithCause(outcome.ReasonLogDown, "origin of stream "+t.resumes, err).After(originRetryAfter)
		}
		t.origin, state = s.find(t.resumes, c)
	}
	e := outcome.Refuse(outcome.ReasonUnknownOrigin, string(state))
	switch {
	case state == streamorigin.Missing:
		return t, e.After(originRetryAfter)
	case state != streamorigin.Known:
		return t, e
	case !c.Route.LeadsTo(t.origin.Writer.Service):
		return t, outcome.Refuse(outcome.ReasonNoServer, "the route no longer leads to "+t.origin.Writer.Service)
	}
	return t, nil
}

// parse reads what a request continues from its header.
func (s *streams) parse(h http.Header) (resumption, error) {
	d := s.g.c.Dialect
	resumes, after := h[http.CanonicalHeaderKey(d.Resumes)], h[http.CanonicalHeaderKey(d.ResumeAfter)]
	if len(resumes) > 1 || len(after) > 1 {
		return resumption{}, outcome.Refuse(outcome.ReasonBadRequest, "header field that says where a stream goes on stands twice")
	}
	var t resumption
	if len(resumes) == 1 {
		t.resumes = resumes[0]
	}
	if len(after) == 0 || after[0] == "" {
		return t, nil
	}
	n, err := strconv.ParseUint(after[0], 10, 63)
	if err != nil {
		return t, outcome.RefuseWithCause(outcome.ReasonBadRequest, "id of the last event is no number", err)
	}
	t.after = int64(n)
	return t, nil
}

func (s *streams) find(stream string, c *plainCall) (streamorigin.Record, streamorigin.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Find(stream, c.key())
}

func (s *streams) add(l []streamorigin.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range l {
		s.ledger.Add(r)
	}
}

// answered handles the answer to the request of a stream: all hosts are told what began it.
func (s *streams) answered(c *plainCall, t resumption, a *Answer) {
	runs := a.Server.Runs()
	s.g.log.Info("stream: answered", zap.String("id", c.ID), zap.String("server", a.Server.ID),
		zap.String("software", runs.Version), zap.Int("status", a.Status), zap.String("resumes", t.resumes),
		zap.Int64("after-event", t.after), zap.String("begun-by", t.origin.Writer.Version), zap.String("known-from", t.source))
	if t.resumes != "" {
		s.g.metrics.continued.WithLabelValues("call", continuedAt(t.origin.Writer, runs)).Inc()
	}
	if a.Status/100 != 2 || a.Rest == nil || !c.Route.Resumable || c.ID == "" || len(c.ID) > streamorigin.MaxIDBytes {
		return
	}
	r := t.origin
	if t.resumes == "" {
		r = streamorigin.Record{Stream: c.ID, Request: c.key(), Writer: runs}
	}
	if !r.Writer.Known() {
		return
	}
	b := &recordedStream{s: s, record: r, server: a.Server, unconfirmedSince: a.unconfirmedSince, told: time.Now(), r: a.Rest}
	if b.confirmed() {
		s.tell(r)
	} else {
		s.g.wg.Go(b.tellOnceConfirmed)
	}
	a.Rest = b
}

// checkContinuation fails if a successful answer does not go on with the stream where the request asked
// for. It waits for the first event, so that nothing of such an answer reaches the caller.
func (s *streams) checkContinuation(t resumption, a *Answer) error {
	if t.after == 0 || a.Status/100 != 2 || a.Rest == nil {
		return nil
	}
	if statesOther(a.Header) {
		return outcome.Ambiguous(outcome.ReasonNotEvents, a.Server.ID+" "+a.Header.Get("Content-Type"), nil)
	}
	b := newContinuation(a.Rest, s.g.c.Dialect.EventVersion, t.after+1, s.g.isEngine(a.Server.Service))
	a.Rest = b
	err := b.fill()
	if errors.Is(err, io.EOF) && !statesEvents(a.Header) {
		return outcome.Ambiguous(outcome.ReasonNotEvents, a.Server.ID, nil)
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// continuedAt labels a continuation by what began the stream and what continues it.
func continuedAt(writer, runs directory.Software) string {
	switch {
	case !writer.Known() || !runs.Known():
		return "unknown"
	case writer == runs:
		return "same"
	}
	return "other"
}

// recordedStream is the body of a stream whose record is appended again before the log drops it.
type recordedStream struct {
	s      *streams
	record streamorigin.Record
	server directory.Server
	// unconfirmedSince is that of the answer.
	unconfirmedSince time.Time
	// told is when the record was last appended.
	told time.Time
	r    io.Reader
}

// confirmed reports whether the registration of the server shows which incarnation answered.
func (b *recordedStream) confirmed() bool {
	return b.unconfirmedSince.IsZero() || b.s.g.fleet.ranSince(b.server.ID, b.server.Born, b.unconfirmedSince)
}

// tellOnceConfirmed waits until it is known what began the stream and tells all hosts then. If the
// server is not registered again in time, nobody continues the stream.
func (b *recordedStream) tellOnceConfirmed() {
	ctx, cancel := context.WithTimeout(b.s.g.ctx, originConfirmTimeout)
	defer cancel()
	for backoff.Sleep(ctx, confirmInterval) {
		if b.confirmed() {
			b.s.tell(b.record)
			return
		}
	}
	b.s.g.metrics.origins.WithLabelValues("unconfirmed").Inc()
	b.s.g.log.Info("stream: not known what began it, it cannot be continued", zap.String("id", b.record.Stream),
		zap.String("server", b.server.ID), zap.Duration("after", originConfirmTimeout))
}

// Read implements io.Reader.
func (b *recordedStream) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if now := time.Now(); now.Sub(b.told) > b.s.g.s.Log.Retention.D()/originRefreshes && b.confirmed() {
		b.told = now
		b.s.tell(b.record)
	}
	return n, err
}

func (s *streams) partition(stream string) *originPartition {
	return s.partitions[streamorigin.PartitionOf(stream, len(s.partitions))]
}

// read returns once the partition of a stream's record was read up to the end that it has now. A reading
// that takes longer than ctx goes on, for the next that asks.
func (s *streams) read(ctx context.Context, stream string) error {
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, s.g.peerLog.limit(originReadTimeout))
	defer cancel()
	p := s.partition(stream)
	for {
		r := s.startReading(p)
		select {
		case <-r.done:
		case <-ctx.Done():
			return outcome.Refuse(outcome.ReasonOf(ctx), streamorigin.Topic)
		}
		if r.err != nil || !r.startedAt.Before(asked) {
			return r.err
		}
	}
}

// startReading returns the reading of a partition in progress, which it begins if need be.
func (s *streams) startReading(p *originPartition) *originReading {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reading != nil {
		return p.reading
	}
	r := &originReading{startedAt: time.Now(), done: make(chan struct{})}
	if s.g.ctx.Err() != nil {
		r.err = outcome.Refuse(outcome.ReasonCancelled, streamorigin.Topic)
		close(r.done)
		return r
	}
	p.reading = r
	s.g.wg.Go(func() {
		defer close(r.done)
		r.err = s.readToEnd(p)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reading = nil
	})
	return r
}

// readToEnd adds the records of a partition that this host does not have yet. It is called by the
// reading in progress.
func (s *streams) readToEnd(p *originPartition) error {
	at := p.records.at
	for {
		page, err := s.readPage(at, p.next)
		if outcome.HasReason(err, partitionlog.ReasonExpired) {
			p.next = max(page.First, p.next+1)
			continue
		}
		if err != nil {
			s.g.logHealth.failed(streamorigin.Topic, partitionName(at), err)
			return err
		}
		s.g.logHealth.answered(partitionName(at))
		for i, b := range page.Records {
			l, err := streamorigin.Decode(b)
			if err != nil {
				s.g.unreadable.skipped(streamorigin.Topic, err, zap.Int("part", at.Number), zap.Int64("offset", page.From+int64(i)))
				continue
			}
			s.add(l)
		}
		p.next = page.From + int64(len(page.Records))
		if p.next >= page.End || len(page.Records) == 0 {
			return nil
		}
	}
}

// readPage reads the page of a partition at an offset.
func (s *streams) readPage(at partitionlog.Partition, from int64) (partitionlog.Page, error) {
	ctx, cancel := context.WithTimeout(s.g.ctx, s.g.peerLog.limit(readSlack))
	defer cancel()
	return s.g.c.Log.Read(ctx, partitionlog.ReadRequest{Partition: at, From: from, MaxBytes: maxReadBytes})
}

// tell records the origin of a stream here and has it appended, so that all hosts can learn it.
func (s *streams) tell(r streamorigin.Record) {
	s.g.metrics.origins.WithLabelValues("told").Inc()
	s.add([]streamorigin.Record{r})
	s.partition(r.Stream).records.add(r)
}

// hasPending reports whether the append of a record is not acknowledged yet.
func (s *streams) hasPending() bool {
	return slices.ContainsFunc(s.partitions, func(p *originPartition) bool { return p.records.hasPending() })
}
