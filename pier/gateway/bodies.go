package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/outcome"
)

const (
	// defaultMemoryBytes is the memory of a host whose deployment states none.
	defaultMemoryBytes = 256 << 20
	// bodyShare is the part of a host's memory, as its divisor, that bodies of requests and the
	// beginnings of answers may take: the garbage collector lets the heap grow by about half, and the
	// rest of the program needs its own part.
	bodyShare = 3
	// textReserveShare is the part of that, as its divisor, that the texts of samples may take also while
	// bodies and steps have taken all of it: steps end only once their texts are generated.
	textReserveShare = 8
	// textMostShare is the part of it, as its divisor, that texts may take at all: what they leave is for
	// bodies and steps, however many samples run.
	textMostShare = 2
	// stepCopies is what the memory that it takes to accept a step is a multiple of, the length of its
	// body: the body, the decoded step, its records and the call to the log.
	stepCopies = 4
	// bodyChunkBytes is the size of the parts in which a body of unknown length is read.
	bodyChunkBytes = 64 << 10
)

// Body is the body of a request. Release must be called.
type Body struct {
	Bytes []byte
	g     *Gateway
	taken int64
	// copies is how often the bytes will be in memory.
	copies int64
	// users is the number of those that use the body: the request itself, and who else holds it.
	users atomic.Int32
}

// Release returns the memory that the body takes, once nobody else holds it any more.
func (b *Body) Release() {
	if b.users.Add(-1) > 0 {
		return
	}
	b.g.memory.Give(b.taken)
	b.taken = 0
}

// Hold keeps the memory of the body taken until the function that it returns is called, also after Release.
func (b *Body) Hold() (release func()) {
	b.users.Add(1)
	return sync.OnceFunc(b.Release)
}

// ReadBody reads the body of a request of at most limit bytes. If the host has no memory for it, the
// request is refused, before any of a body of known length is read. A body that is still on its way when
// the request's context ends, as at the end of a planned stop, is waited for no longer. Errors are of
// type *outcome.Error.
func (g *Gateway) ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	return g.readBody(w, r, limit, 1)
}

// ReadStepBody is ReadBody for the body of a request that submits a step. It also takes the memory that
// accepting the step needs.
func (g *Gateway) ReadStepBody(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	return g.readBody(w, r, limit, stepCopies)
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request, limit, copies int64) (*Body, error) {
	b := &Body{g: g, copies: copies}
	b.users.Store(1)
	if r.ContentLength > limit {
		return nil, outcome.Refuse(outcome.ReasonTooLarge, "body")
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	c := http.NewResponseController(w)
	stop := context.AfterFunc(r.Context(), func() {
		if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
			g.log.Warn("request: its body cannot be given up", zap.Error(err))
		}
	})
	defer stop()
	err := b.read(body, r.ContentLength)
	if err == nil {
		return b, nil
	}
	b.Release()
	if r.Context().Err() != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonOf(r.Context()), "body", err)
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, outcome.RefuseWithCause(outcome.ReasonTooLarge, "body", err)
	case outcome.HasReason(err, outcome.ReasonMemory):
		g.metrics.refusals.WithLabelValues(string(outcome.ReasonMemory)).Inc()
		g.log.Info("request: refused, no memory for its body", zap.String("id", r.Header.Get(g.c.Dialect.RequestID)),
			zap.Int64("bytes", r.ContentLength), zap.Int64("left", g.memory.Left()))
		return nil, err
	}
	return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "body cannot be read", err)
}

// read reads a body of the given length, -1 if that is not known.
func (b *Body) read(body io.Reader, length int64) error {
	if length >= 0 {
		if !b.takeCopies(length) {
			return errNoMemory
		}
		b.Bytes = make([]byte, length)
		_, err := io.ReadFull(body, b.Bytes)
		return err
	}
	for {
		if len(b.Bytes) == cap(b.Bytes) && !b.grow() {
			return errNoMemory
		}
		n, err := body.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if errors.Is(err, io.EOF) {
			b.g.memory.Give(b.taken)
			b.taken = 0
			if !b.takeCopies(int64(cap(b.Bytes))) {
				return errNoMemory
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// grow doubles the room for a body of unknown length. Old and new room are taken together, as both
// are in use while the bytes are copied.
func (b *Body) grow() bool {
	old := int64(cap(b.Bytes))
	size := max(2*old, bodyChunkBytes)
	if !b.take(size) {
		return false
	}
	n := make([]byte, len(b.Bytes), size)
	copy(n, b.Bytes)
	b.Bytes = n
	b.g.memory.Give(old)
	b.taken -= old
	return true
}

// takeCopies takes the memory for all copies of a body of n bytes. A body of which there is no room for
// as many copies at all takes all memory that requests have.
func (b *Body) takeCopies(n int64) bool { return b.take(max(n, min(n*b.copies, b.g.bodyMemory()))) }

// Reserve takes the memory for what the body is decoded to beside the copies of its bytes, as far as it
// exceeds what was taken already. An error is an *outcome.Error: a request that could not be decoded in
// all memory that requests have is too large.
func (b *Body) Reserve(decoded int64) error {
	n := int64(len(b.Bytes)) + decoded
	if n > b.g.bodyMemory() {
		return outcome.Refuse(outcome.ReasonTooLarge, "decoded body")
	}
	if n > b.taken && !b.take(n-b.taken) {
		b.g.metrics.refusals.WithLabelValues(string(outcome.ReasonMemory)).Inc()
		return errNoMemory
	}
	return nil
}

func (b *Body) take(n int64) bool {
	if !b.g.memory.Take(n) {
		return false
	}
	b.taken += n
	return true
}

// bodyMemory returns the memory that bodies and open steps may take.
func (g *Gateway) bodyMemory() int64 { return g.c.MemoryBytes / bodyShare }

// errNoMemory is the refusal of a request for whose body the host has no memory.
var errNoMemory = outcome.Refuse(outcome.ReasonMemory, "body").After(busyRetryAfter)
