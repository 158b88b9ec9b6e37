package gateway

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/quarantine"
)

// A request may end each server that runs it and come again at any host. The hosts tell each
// other through a topic of the log under which requests servers ended, and who may try such
// a request once more. Package quarantine decides what follows from that.

const (
	// suspectsReadWait is how long a read of the topic waits for an event.
	suspectsReadWait = 2500 * time.Millisecond
	// maxCatchUp bounds the time after the start for which calls wait until the events of before
	// are known. A host that cannot read the topic then sends calls as if there were none.
	maxCatchUp = 2 * time.Second
	// claimTimeout bounds the time to ask for a trial.
	claimTimeout = 500 * time.Millisecond
	// maxWaitingEvents bounds the events that wait for their append; the oldest are dropped.
	// maxEventsAppended bounds those of one append.
	maxWaitingEvents  = 2000
	maxEventsAppended = 500
	// maxHeldRetryAfter bounds the Retry-After time of a request that could not wait for the
	// end of a trial, most of which are short.
	maxHeldRetryAfter = time.Second
)

// suspects holds what this host knows of requests under which servers ended. It is safe for
// concurrent use.
type suspects struct {
	g *Gateway
	// known is the number of requests in ledger. It spares calls the lock while there is none.
	known atomic.Int64
	// claims is the number of trials that this host has asked for.
	claims atomic.Int64
	// catchUpEnd is when calls stop to wait for the events of before the start: a time since boot,
	// 0 if none does.
	catchUpEnd atomic.Int64

	mu     sync.Mutex
	ledger *quarantine.Ledger
	// next is the offset of the topic to read from.
	next int64
	// changed is closed and replaced after events were applied.
	changed chan struct{}
	events  *appendQueue[quarantine.Event]
}

func newSuspects(g *Gateway) *suspects {
	return &suspects{
		g: g, ledger: quarantine.NewLedger(g.s.Log.Retention.D()), changed: make(chan struct{}),
		events: &appendQueue[quarantine.Event]{
			g: g, at: suspectsPartition(), maxWaiting: maxWaitingEvents, maxAtOnce: maxEventsAppended, encode: quarantine.Encode,
			dropped: func() { g.metrics.suspects.WithLabelValues("dropped").Inc() },
		},
	}
}

func suspectsPartition() partitionlog.Partition {
	return partitionlog.Partition{Topic: quarantine.Topic}
}

// run reads the events of all hosts. Calls wait until those of before the start are known.
func (s *suspects) run() {
	s.catchUpEnd.Store(int64(boottime.Now() + maxCatchUp))
	for s.g.ctx.Err() == nil {
		if err := s.read(); err != nil {
			if s.g.ctx.Err() == nil {
				s.g.logHealth.failed(quarantine.Topic, partitionName(suspectsPartition()), err)
			}
			backoff.Sleep(s.g.ctx, logRetryDelay)
			continue
		}
		s.g.logHealth.answered(partitionName(suspectsPartition()))
	}
}

// catchesUp reports whether events of before the start may be unknown, and for how long calls wait
// for them at most.
func (s *suspects) catchesUp() (most time.Duration, ok bool) {
	most = time.Duration(s.catchUpEnd.Load()) - boottime.Now()
	return most, most > 0
}

// caughtUp lets the calls go on that wait for the events of before the start. The caller holds mu.
func (s *suspects) caughtUp() {
	s.catchUpEnd.Store(0)
	close(s.changed)
	s.changed = make(chan struct{})
}

// awaitStart waits until the events of before the start are known, and refuses a call that has no time
// to wait for them.
func (s *suspects) awaitStart(ctx context.Context, c *plainCall) error {
	for !c.deferrable() {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		most, ok := s.catchesUp()
		if !ok {
			return nil
		}
		if !waitForTrial(ctx, c, changed, most) {
			return outcome.Refuse(outcome.ReasonLogDown, "requests under which servers ended").After(unavailableRetryAfter)
		}
	}
	return nil
}

func (s *suspects) read() error {
	wait := suspectsReadWait
	_, catchesUp := s.catchesUp()
	if catchesUp {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(s.g.ctx, wait+s.g.peerLog.limit(readSlack))
	defer cancel()
	s.mu.Lock()
	from := s.next
	s.mu.Unlock()
	p, err := s.g.c.Log.Read(ctx, partitionlog.ReadRequest{
		Partition: suspectsPartition(), From: from, MaxBytes: maxReadBytes, Wait: wait,
	})
	if outcome.HasReason(err, partitionlog.ReasonExpired) {
		s.mu.Lock()
		s.next = max(p.First, from+1)
		s.mu.Unlock()
		return nil
	}
	if err != nil {
		return err
	}
	var l []quarantine.Event
	for i, b := range p.Records {
		e, err := quarantine.Decode(b)
		if err != nil {
			s.g.unreadable.skipped(quarantine.Topic, err, zap.Int64("offset", p.From+int64(i)))
			continue
		}
		l = append(l, e...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = p.From + int64(len(p.Records))
	if len(p.Records) > 0 {
		s.apply(l)
	}
	if catchesUp && s.next >= p.End {
		s.caughtUp()
	}
	return nil
}

// apply applies events to the ledger and wakes those that wait for a change. The caller holds mu.
func (s *suspects) apply(l []quarantine.Event) {
	now := boottime.Now()
	for _, e := range l {
		s.ledger.Apply(e, now)
	}
	s.known.Store(int64(s.ledger.Len()))
	close(s.changed)
	s.changed = make(chan struct{})
}

// decide returns what may be done with a call, and a channel that is closed when that may have
// changed.
func (s *suspects) decide(c *plainCall) (quarantine.Decision, <-chan struct{}) {
	if s.known.Load() == 0 || c.deferrable() {
		return quarantine.Decision{Action: quarantine.Send}, nil
	}
	k, now := c.key(), boottime.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.ledger.Decide(k, now)
	s.known.Store(int64(s.ledger.Len()))
	if e, ok := s.ledger.Kept(k, now); ok && d.Action == quarantine.Refuse {
		s.queue(e)
	}
	return d, s.changed
}

// inTrial reports whether a trial is in progress at a server.
func (s *suspects) inTrial(x *directory.Server) bool {
	if s.known.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.InTrial(x.Incarnation(), boottime.Now())
}

// tell has an event appended, so that all hosts learn of it. One that belongs to no trial is
// applied at once; which trials there are depends on the order of the events in the log.
func (s *suspects) tell(e quarantine.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Trial == 0 {
		s.apply([]quarantine.Event{e})
	}
	s.queue(e)
}

// tellEnd tells all hosts that a server ended under a request.
func (s *suspects) tellEnd(k quarantine.Key, x directory.Server) {
	s.tell(quarantine.Event{
		Kind: quarantine.KindEnded, Key: k, Service: x.Service, Server: x.Incarnation(),
	})
}

// queue has an event appended.
func (s *suspects) queue(e quarantine.Event) {
	s.g.metrics.suspects.WithLabelValues(string(e.Kind)).Inc()
	s.events.add(e)
}

// newClaim returns a name of a claim that no other has.
func (s *suspects) newClaim() string {
	return fmt.Sprintf("%s/%d", s.g.self.Host, s.claims.Add(1))
}

// claim asks for a trial of a request and reports whether this host has it. An error means that
// the log did not tell in time.
func (s *suspects) claim(ctx context.Context, e quarantine.Event) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	offset, err := s.events.append(ctx, []quarantine.Event{e})
	for err == nil {
		s.mu.Lock()
		read, has, changed := s.next > offset, s.ledger.HasTrial(e.Key, e.Claim), s.changed
		s.mu.Unlock()
		if read {
			return has, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	// The event may have been appended, or may be yet.
	e.Kind = quarantine.KindUnused
	s.tell(e)
	return false, outcome.RefuseWithCause(outcome.ReasonLogDown, "trial of request "+e.Key.String(), err).After(unavailableRetryAfter)
}
