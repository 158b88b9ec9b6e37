package gateway

import (
	"io"
	"slices"
	"sync"
	"time"

	"mulberrypier.example/pier/bytebudget"
	"mulberrypier.example/pier/outcome"
)

const (
	// unreadShare is the part of the memory for bodies, as its divisor, that callers who read slowly may take.
	unreadShare = 4
	// unreadChunkBytes is the size of the parts in which an answer is read. Each answer has one whatever others
	// take.
	unreadChunkBytes = 8 << 10
	// maxUnreadTime is how long a host leaves an answer unread that it has begun to pass on. Servers abort
	// answers that stay unread for seconds.
	maxUnreadTime = time.Second
	// memoryPollInterval is the time between two attempts to get memory that others have taken.
	memoryPollInterval = 20 * time.Millisecond
)

// What became of callers that read more slowly than their server sent.
const (
	callerBuffered = "buffered"
	callerWaited   = "waited-for"
	callerAborted  = "aborted"
)

// answerBuffer reads an answer as fast as the server sends it, and holds what the caller has not read yet.
// If there is no memory for more, it waits for the caller, and aborts the answer after maxUnreadTime.
type answerBuffer struct {
	r io.Reader
	// abort closes the server's connection; server is its id.
	abort  func()
	server string
	share  *bytebudget.Share
	// ended is called with what became of a caller that read slowly, at most once.
	ended func(result string)

	begin sync.Once
	// done is closed once r is read no more.
	done chan struct{}
	// more holds a token after new data or the end, room after the caller has read a chunk or has left.
	more, room chan struct{}

	mu sync.Mutex
	// mu guards the fields below.
	chunks []chunk
	// off is the number of bytes of the first chunk that the caller has read.
	off int
	// err is the error that ended the answer, io.EOF if it is complete. The caller gets it after the data.
	err error
	// left is set once the caller has closed the answer.
	left bool
	// slow is the result that ended reports, "" while the caller keeps up.
	slow string
}

// chunk is a part of an answer. Its bytes are appended within its capacity.
type chunk struct {
	b []byte
	// charged is set if it takes memory from the share.
	charged bool
}

func newAnswerBuffer(r io.Reader, abort func(), server string, share *bytebudget.Share, ended func(string)) *answerBuffer {
	return &answerBuffer{
		r: r, abort: abort, server: server, share: share, ended: ended,
		done: make(chan struct{}), more: make(chan struct{}, 1), room: make(chan struct{}, 1),
	}
}

// start begins to read the answer, unless that has begun.
func (b *answerBuffer) start() { b.begin.Do(func() { go b.run() }) }

func (b *answerBuffer) run() {
	defer close(b.done)
	defer notify(b.more)
	for {
		free := b.next()
		if free == nil {
			return
		}
		n, err := b.r.Read(free)
		if b.add(n, err) {
			return
		}
		notify(b.more)
	}
}

// add adds n bytes that were read into the last chunk, and reports whether the answer has ended.
func (b *answerBuffer) add(n int, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left {
		return true
	}
	c := &b.chunks[len(b.chunks)-1]
	c.b = c.b[:len(c.b)+n]
	b.err = err
	return err != nil
}

// next returns the room for the next bytes. It returns nil if the caller has left, or was waited for in vain:
// the answer is aborted then.
func (b *answerBuffer) next() []byte {
	free := b.free()
	if len(free) > 0 || b.hasLeft() {
		return free
	}
	limit := time.NewTimer(maxUnreadTime)
	defer limit.Stop()
	poll := time.NewTicker(memoryPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-b.room:
		case <-poll.C:
		case <-limit.C:
			b.fail()
			return nil
		}
		if free = b.free(); len(free) > 0 || b.hasLeft() {
			return free
		}
	}
}

// free returns the free part of the last chunk, after it has added one if need be; nil if there is no memory
// or the caller has left.
func (b *answerBuffer) free() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left {
		return nil
	}
	if n := len(b.chunks); n > 0 {
		if c := b.chunks[n-1].b; len(c) < cap(c) {
			return c[len(c):cap(c)]
		}
	}
	charged := len(b.chunks) > 0
	if charged && !b.share.Take(unreadChunkBytes) {
		b.slow = callerWaited
		return nil
	}
	if charged && b.slow == "" {
		b.slow = callerBuffered
	}
	b.chunks = append(b.chunks, chunk{b: make([]byte, 0, unreadChunkBytes), charged: charged})
	return b.chunks[len(b.chunks)-1].b[:unreadChunkBytes]
}

func (b *answerBuffer) hasLeft() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left
}

// fail aborts an answer whose caller reads too slowly, and drops what it has not read.
func (b *answerBuffer) fail() {
	b.abort()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slow = callerAborted
	b.err = outcome.Ambiguous(outcome.ReasonSlowCaller, b.server, nil)
	b.drop(len(b.chunks))
}

// Read implements io.Reader.
func (b *answerBuffer) Read(p []byte) (int, error) {
	b.start()
	for {
		n, err := b.take(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		<-b.more
	}
}

// take copies what was read of the answer to p, and returns its end once there is no more.
func (b *answerBuffer) take(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for n < len(p) && len(b.chunks) > 0 {
		c := b.chunks[0].b
		k := copy(p[n:], c[b.off:])
		n += k
		b.off += k
		if b.off < cap(c) {
			break
		}
		b.drop(1)
		notify(b.room)
	}
	if n == 0 && b.err != nil {
		return 0, b.err
	}
	return n, nil
}

// drop gives the memory of the first n chunks back. The caller holds mu.
func (b *answerBuffer) drop(n int) {
	if n == 0 {
		return
	}
	for _, c := range b.chunks[:n] {
		if c.charged {
			b.share.Give(unreadChunkBytes)
		}
	}
	b.chunks = slices.Delete(b.chunks, 0, n)
	b.off = 0
}

// close ends the reading of the answer, and gives the memory back. Read must not be called after it.
func (b *answerBuffer) close() {
	b.mu.Lock()
	b.left = true
	unfinished := b.err == nil
	b.mu.Unlock()
	begun := true
	b.begin.Do(func() { begun = false })
	if begun {
		if unfinished {
			b.abort()
		}
		notify(b.room)
		<-b.done
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(len(b.chunks))
	if b.slow != "" {
		b.ended(b.slow)
		b.slow = ""
	}
}

// notify puts a token into a channel for one, unless it has one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
