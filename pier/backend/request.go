package backend

import (
	"bytes"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"mulberrypier.example/pier/outcome"
)

// inlineBodyBytes is the size of the longest body that is written before the answer is
// read. It fits into a socket's buffer, so the write cannot block for long.
const inlineBodyBytes = 16 << 10

// Purpose is why a request is sent to a server. It is also a label value of metrics.
type Purpose string

// The purposes.
const (
	// PurposeCall is a caller's request, PurposeScore a call to a scorer; both at the first
	// server that is tried.
	PurposeCall  Purpose = "call"
	PurposeScore Purpose = "score"
	// PurposeRetry is a further attempt at another server, PurposeHedge one that is made
	// before the previous has ended.
	PurposeRetry Purpose = "retry"
	PurposeHedge Purpose = "hedge"
	// PurposeTrial is a caller's request under which servers have ended, tried at one server.
	PurposeTrial Purpose = "trial"
	// PurposeSample is the run of a sample, PurposeResume its continuation.
	PurposeSample Purpose = "sample"
	PurposeResume Purpose = "resume"
)

// Request is a request to one incarnation of a server.
type Request struct {
	// Server is the id of the incarnation, Address the address that it listens on, and Born
	// the time at which it started, which differs if an id is used again.
	Server  string
	Address netip.AddrPort
	Born    time.Time
	Method  string
	// Target is the path and query, sent unchanged.
	Target string
	// Host is the value of the Host header field.
	Host string
	// ID is the id of the request, which the answer must repeat; empty if the answer
	// carries none.
	ID string
	// Header holds further header fields. Names are sent unchanged; line breaks are removed
	// from values.
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting; the request states the time that is left
	// when it is sent. Zero if it has none.
	Deadline time.Time
	// Purpose is why the request is sent.
	Purpose Purpose
	// SameIncarnation requires that the server has not started again under its id since Born.
	// Servers compare the id only.
	SameIncarnation bool
	// Continues is set for a request that goes on from what the server's software has generated
	// before. It is sent only on a connection of which it is known that it leads to the incarnation
	// that started at Born.
	Continues bool
	// MaxIdle is the number of idle connections to the server up to which its connection is
	// kept afterwards: 0 if there is no limit of the server's, negative to keep none.
	MaxIdle int
	// LimitWait is how long the request may wait, before it is sent, for a server that limits
	// its requests.
	LimitWait time.Duration
	// Check, if not nil, is called while the request waits and right before it is sent. Its error, an
	// *outcome.Error with the outcome not-run, is returned to the caller.
	Check func() error
	// HeaderTimeout is the maximum wait for the header of the answer; 0 if only the context
	// limits it.
	HeaderTimeout time.Duration
}

// maxIdle returns how many idle connections to the server are kept.
func (q *Request) maxIdle() int {
	if q.MaxIdle == 0 {
		return maxIdlePerServer
	}
	return min(max(q.MaxIdle, 0), maxIdlePerServer)
}

// mayBeSent calls Check.
func (q *Request) mayBeSent() error {
	if q.Check == nil {
		return nil
	}
	return q.Check()
}

// check returns a refusal if a part of the request that is sent unchanged would end its line, or
// its field of the line: the server would read another request. The error is an
// *outcome.Error.
func (q *Request) check() error {
	ok := isWord(q.Method) && isWord(q.Target) && isWord(q.Host) && !strings.ContainsFunc(q.ID, isControl)
	for k := range q.Header {
		ok = ok && isWord(k) && !strings.Contains(k, ":")
	}
	if !ok {
		return outcome.Refuse(outcome.ReasonBadRequest, "request with a blank or a control character in its head")
	}
	return nil
}

// isWord reports whether a string is not empty and has neither blanks nor control characters.
func isWord(s string) bool {
	return s != "" && !strings.Contains(s, " ") && !strings.ContainsFunc(s, isControl)
}

func isControl(r rune) bool { return r < ' ' || r == 0x7f }

// upload is the writing of a request.
type upload struct {
	// done is closed once the request is written no more. After it, err is the error of the last write.
	done chan struct{}
	err  error
}

// writtenInline is the writing of the requests that were written before writeRequest returned.
var writtenInline = func() *upload {
	u := &upload{done: make(chan struct{})}
	close(u.done)
	return u
}()

// written reports whether all of the request was written.
func (u *upload) written() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// wait returns once the request is written no more, which is soon after its connection was closed.
func (u *upload) wait() { <-u.done }

// writeRequest writes the request. A body longer than inlineBodyBytes is written concurrently with the reading of the
// answer, as a server may answer before it has read the body.
func (c *conn) writeRequest(d Dialect, q Request) (*upload, error) {
	b := requestHeader(d, q)
	inline := len(q.Body) <= inlineBodyBytes
	if inline {
		b = append(b, q.Body...)
	}
	if _, err := c.Write(b); err != nil {
		return nil, err
	}
	if inline {
		return writtenInline, nil
	}
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		_, u.err = c.Write(q.Body)
	}()
	return u, nil
}

// requestHeader returns the header of the request as it is sent.
func requestHeader(d Dialect, q Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(q.Body), inlineBodyBytes))
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	if q.ID != "" {
		b.WriteString(d.RequestID + ": " + q.ID + "\r\n")
	}
	for k, l := range q.Header {
		for _, v := range l {
			b.WriteString(k + ": " + strings.NewReplacer("\r", "", "\n", "").Replace(v) + "\r\n")
		}
	}
	if !q.Deadline.IsZero() {
		b.WriteString(d.Deadline + ": " + strconv.FormatInt(max(time.Until(q.Deadline).Milliseconds(), 1), 10) + "\r\n")
	}
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
