package gateway

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/routetable"
)

// usageAnswerWait is how long after it was sent a plain request without an answer counts: a server that does not
// run a request says so at once, and the counts of a window are decided 5 s after its end.
const usageAnswerWait = 3 * time.Second

// usageAttempt watches whether a server begins to run a request. A nil *usageAttempt is that of a request that is not
// counted.
type usageAttempt struct {
	u *usageReports
	// counted is set once the request is counted, which all its attempts share.
	counted      *atomic.Bool
	organisation string
	stream       bool

	mu sync.Mutex
	// sent is when the request was last sent, a time since boot, and wait counts it if no answer comes.
	sent time.Duration
	wait *time.Timer
}

// begin watches an attempt at a server. It is called before the attempt. Samples and calls to scorers are not counted, nor
// are requests without an organisation.
func (u *usageReports) begin(c *Call, q *backend.Request) *usageAttempt {
	if u == nil || c.counted == nil {
		return nil
	}
	a := &usageAttempt{u: u, counted: c.counted, organisation: c.Organisation, stream: c.Route.Kind == routetable.KindStream}
	check := q.Check
	q.Check = func() error {
		if check != nil {
			if err := check(); err != nil {
				return err
			}
		}
		a.isSent()
		return nil
	}
	return a
}

// isSent notes that the request is sent now.
func (a *usageAttempt) isSent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = boottime.Now()
	if a.wait != nil {
		a.wait.Stop()
	}
	if !a.stream {
		sent := a.sent
		a.wait = time.AfterFunc(usageAnswerWait, func() { a.count(sent) })
	}
}

// count counts the request, unless that was done, as sent at a time since boot.
func (a *usageAttempt) count(sent time.Duration) {
	if a.counted.CompareAndSwap(false, true) {
		a.u.add(a.organisation, sent)
	}
}

// sentAt returns when the request was sent, and stops the wait for its answer.
func (a *usageAttempt) sentAt() (at time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wait != nil {
		a.wait.Stop()
	}
	return a.sent, a.sent > 0
}

// ended processes the response of the server, or the error of the attempt.
func (a *usageAttempt) ended(r *backend.Response, err error) {
	if a == nil {
		return
	}
	sent, ok := a.sentAt()
	switch {
	case !ok:
	case err != nil:
		if outcome.AsError(err).Outcome == outcome.Unknown {
			a.count(sent)
		}
	case !r.NotRun() && !a.stream:
		a.count(sent)
	}
}

// body returns the body of a response that counts the request of a stream at its first event.
func (a *usageAttempt) body(r io.Reader, status int) io.Reader {
	if a == nil || !a.stream || r == nil || status/100 != 2 {
		return r
	}
	return &countedBody{a: a, r: r}
}

// countedBody is the body of a stream.
type countedBody struct {
	a    *usageAttempt
	r    io.Reader
	read bool
}

// Read implements io.Reader. A stream that breaks off before its first event may have begun.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.read {
		return n, err
	}
	switch {
	case n > 0:
		b.a.count(boottime.Now())
		b.read = true
	case err != nil && err != io.EOF:
		sent, _ := b.a.sentAt()
		b.a.count(sent)
		b.read = true
	}
	return n, err
}
