package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/answerhead"
	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/routetable"
)

const (
	// minAnswerBoundBytes is the smallest bound on the body of a plain answer. answerBoundFactor times the longest
	// body that the configuration allows callers to send is another: an answer may repeat the request's body,
	// encoded anew.
	minAnswerBoundBytes = 64 << 20
	answerBoundFactor   = 4
	// maxBytesPerSecond is the highest rate at which a host passes a body on. The bound of an answer of stated
	// length is at least what can arrive by the deadline at that rate.
	maxBytesPerSecond = 125_000_000
	// slowCallerTime is the shortest wait for a caller that can excuse a failure of the server.
	slowCallerTime = 100 * time.Millisecond
	// maxScorerBodyBytes is the length of the longest body of a scorer's answer.
	maxScorerBodyBytes = 8 << 20
)

// answerBound returns the length of the longest body of an answer to a call. length is the stated one, -1
// if none is stated.
func (g *Gateway) answerBound(c *Call, length int64, now time.Time) int64 {
	switch {
	case c.Route.Kind == routetable.KindStream:
		return math.MaxInt64
	case c.Purpose == backend.PurposeScore:
		return maxScorerBodyBytes
	}
	n := int64(minAnswerBoundBytes)
	if t := g.Table(); t != nil {
		n = max(n, answerBoundFactor*t.Limits.BodyBytes)
	}
	if length >= 0 {
		n = max(n, int64(maxBytesPerSecond*c.Deadline.Sub(now).Seconds()))
	}
	return n
}

// answerBody is the body of an answer. Its end shows whether the server completed the request: success is
// recorded once the body is whole, failure if it breaks its bound, breaks off or outlasts the request.
type answerBody struct {
	r *backend.Response
	u *reservation
	// id is the id of the request.
	id string
	// ctx is the context of the attempt, which bounds the reading.
	ctx    context.Context
	stream bool
	// hasLine is set once a line of the stream has ended.
	hasLine bool
	// read is the number of bytes so far, bound the most that there may be.
	read, bound int64
	beganAt     time.Time
	// waited is how long the server was waited for. The rest of the time since beganAt, the caller was.
	waited time.Duration
	// err is the error that ended the body, io.EOF if it is complete, nil before that.
	err error
	// aborted is set once the host has closed the connection, which says nothing of the server.
	aborted atomic.Bool
}

// newAnswerBody returns the body of an answer to a call. It fails with answer-too-large if the answer
// states a length above its bound.
func (g *Gateway) newAnswerBody(ctx context.Context, c *Call, u *reservation, r *backend.Response) (*answerBody, error) {
	now := time.Now()
	b := &answerBody{
		r: r, u: u, id: c.ID, ctx: ctx, stream: c.Route.Kind == routetable.KindStream,
		bound: g.answerBound(c, r.BodyLength, now), beganAt: now,
	}
	if c.Method != http.MethodHead && r.BodyLength > b.bound {
		b.end(b.tooLarge(), now)
		return nil, b.err
	}
	return b, nil
}

func (b *answerBody) tooLarge() error {
	return outcome.Ambiguous(outcome.ReasonAnswerTooLarge, b.u.s.ID, nil)
}

// bodyError returns the error of an answer whose body was not read to a proper end, which err says more about.
func bodyError(at string, err error) *outcome.Error {
	return outcome.Ambiguous(answerhead.Reason(err, outcome.ReasonShortAnswer), at, err)
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	began := time.Now()
	n, err := b.r.Read(p)
	now := time.Now()
	b.waited += now.Sub(began)
	b.read += int64(n)
	if n > 0 && !b.u.begun.Swap(true) {
		b.u.promptRead()
	}
	b.hasLine = b.hasLine || b.stream && bytes.IndexByte(p[:n], '\n') >= 0
	if over := b.read - b.bound; over > 0 {
		n -= int(over)
		err = b.tooLarge()
	}
	if err != nil {
		b.end(err, now)
	}
	return n, err
}

// abort closes the server's connection, also while the body is being read.
func (b *answerBody) abort() {
	b.aborted.Store(true)
	b.r.Abort()
}

// long reports whether the body has passed what is buffered without a stated length, so that nothing says
// that it ends.
func (b *answerBody) long() bool {
	return !b.stream && b.r.BodyLength < 0 && b.read >= maxBufferedBytes
}

// callerIsSlow reports whether the caller was waited for longer than the server, and long enough for that to
// show.
func (b *answerBody) callerIsSlow(now time.Time) bool {
	caller := now.Sub(b.beganAt) - b.waited
	return caller > max(b.waited, slowCallerTime)
}

// end records how the body ended. A caller that left or was waited for longer than the server says nothing
// of the server, nor does a stream that outlasts its request once a line of it, such as an event's, has come.
func (b *answerBody) end(err error, now time.Time) {
	b.err = err
	switch {
	case errors.Is(err, io.EOF):
		b.u.succeeded()
		if b.long() {
			b.u.endedLong()
		}
	case outcome.HasReason(err, outcome.ReasonAnswerTooLarge):
		b.u.failed(string(outcome.ReasonAnswerTooLarge))
	case b.aborted.Load(), errors.Is(b.ctx.Err(), context.Canceled), b.callerIsSlow(now):
	case b.ctx.Err() != nil && b.stream:
		if !b.hasLine {
			b.u.unfinished()
		}
	case b.ctx.Err() != nil && b.u.left.Load():
		b.u.unfinished()
	case b.ctx.Err() != nil:
		b.u.failed(string(outcome.ReasonDeadline))
	default:
		b.brokeOff(err)
	}
}

// brokeOff records that the server broke the body off.
func (b *answerBody) brokeOff(err error) {
	reason := string(bodyError(b.u.s.ID, err).Reason)
	b.u.f.g.log.Info("request: answer broke off", zap.String("id", b.id), zap.String("server", b.u.s.ID),
		zap.String("reason", reason), zap.Int64("bytes", b.read), zap.Error(err))
	b.u.failed(reason)
}
