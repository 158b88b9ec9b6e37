package backend

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mulberrypier.example/pier/answerhead"
	"mulberrypier.example/pier/tcpstate"
)

// Response is the answer to a request. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// BodyLength is the length of the body as stated in the header, -1 if none is stated.
	BodyLength int64

	pool *Pool
	conn *conn
	body io.ReadCloser
	// trailer holds the trailer once the body was read to its end.
	trailer *http.Header
	// sent is the writing of the request.
	sent *upload
	// stop ends the watch over the request's context. It returns false if the context has
	// ended and the connection is no longer usable.
	stop func() bool
	// complete is set once the body was read to its end.
	complete bool
	// err is the error that ended the body, io.EOF if it is complete, nil before that.
	err error
	// closeDelimited is set if the body ends with the connection.
	closeDelimited bool
	// closing is set if the server closes the connection after this answer.
	closing bool
	// aborted is set once the connection was closed by Abort.
	aborted atomic.Bool
}

// Read reads the body. It returns io.EOF only at the end of a complete body, and an *answerhead.Error if the
// trailer after it is malformed. A body that ends with the connection is complete if tcpstate.ConfirmEnd says so, for
// which it may wait until the server has received the request. After an error, each further call returns the same:
// package net/http reports the end of a body that broke off once only, and the body as complete from then on.
func (r *Response) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) {
		err = r.checkEnd()
	}
	r.err = err
	r.complete = errors.Is(err, io.EOF)
	return n, err
}

// checkEnd returns io.EOF if the body, of which nothing more comes, is complete.
func (r *Response) checkEnd() error {
	if err := answerhead.CheckTrailer(*r.trailer); err != nil {
		return err
	}
	if !r.closeDelimited {
		return io.EOF
	}
	if err := tcpstate.ConfirmEnd(r.conn.Conn, r.sent.written); err != nil {
		return err
	}
	return io.EOF
}

// errEndless is the error of a body that does not end where it should.
var errEndless = errors.New("body of the answer does not end")

// Discard reads the rest of a body that should be short to its end. It fails if the body has more than
// limit bytes, takes longer than d or breaks off; the connection cannot be used again then.
func (r *Response) Discard(limit int64, d time.Duration) error {
	t := time.AfterFunc(d, func() { _ = r.conn.SetReadDeadline(time.Unix(1, 0)) })
	n, err := io.Copy(io.Discard, io.LimitReader(r, limit+1))
	if !t.Stop() {
		r.closing = true
	}
	if err == nil && n > limit {
		return errEndless
	}
	return err
}

// Close releases the connection. The connection is reused only if the request was written
// and the answer read completely, nothing followed the answer, the context has not ended and
// the server keeps the connection open. Otherwise it is closed. The body of the request is not used any more
// once Close has returned.
func (r *Response) Close() {
	if r.release() {
		r.pool.putIdle(r.conn)
		return
	}
	_ = r.conn.Close()
	r.sent.wait()
}

// Abort closes the connection at once, also while the body is being read. Close must follow.
func (r *Response) Abort() {
	r.aborted.Store(true)
	_ = r.conn.Close()
}

// release ends the use of the connection and reports whether it can be used again.
func (r *Response) release() bool {
	notCancelled := r.stop()
	return notCancelled && r.complete && r.sent.written() && !r.closing && !r.aborted.Load() && r.conn.r.Buffered() == 0
}

// UnconfirmedSince returns a time at which the connection was open, if it is not known which
// incarnation of the server answered, and the zero time otherwise.
func (r *Response) UnconfirmedSince() time.Time {
	if r.conn.born.IsZero() {
		return r.conn.openedAt
	}
	return time.Time{}
}

// NotRun reports whether the server stated that it did not execute the request.
func (r *Response) NotRun() bool {
	return r.Header.Get(r.pool.c.Dialect.NotRun) != "" || r.Status == http.StatusMisdirectedRequest
}

// Load is the load that a server states in an answer, in numbers of requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// SlowdownPercent is the time that work takes on the server's machine now, in percent of the
	// normal time, from 1 to maxSlowdownPercent. It is 0 if the server does not state it.
	SlowdownPercent int
}

const (
	// loadFigures is the number of figures of a stated load without its slowdown.
	loadFigures = 3
	// maxSlowdownPercent bounds a stated slowdown, so that one wrong figure does not exclude a
	// server more than a machine that is a hundred times slower.
	maxSlowdownPercent = 10_000
)

// Load returns the load stated in the answer, with or without a slowdown. It returns false if the
// header field is missing or malformed.
func (r *Response) Load() (Load, bool) {
	return parseLoad(r.Header.Get(r.pool.c.Dialect.Load))
}

// parseLoad reads three or four figures that are separated by commas. A slowdown of 0 is malformed.
func parseLoad(s string) (Load, bool) {
	f := strings.Split(s, ",")
	if len(f) != loadFigures && len(f) != loadFigures+1 {
		return Load{}, false
	}
	var n [loadFigures + 1]int
	for i, s := range f {
		v, err := strconv.ParseInt(strings.TrimSpace(s), 10, 32)
		if err != nil || v < 0 {
			return Load{}, false
		}
		n[i] = int(v)
	}
	if len(f) > loadFigures && n[loadFigures] == 0 {
		return Load{}, false
	}
	return Load{Running: n[0], Waiting: n[1], Slots: n[2], SlowdownPercent: min(n[3], maxSlowdownPercent)}, true
}

// Version returns the version of the weights stated in the answer. It returns false if the
// header field is missing or is not a positive number.
func (r *Response) Version() (int64, bool) {
	v, err := strconv.ParseInt(r.Header.Get(r.pool.c.Dialect.WeightVersion), 10, 64)
	return v, err == nil && v > 0
}
