// Package logsink writes structured logs without ever making their writer wait.
//
// Lines go through a bounded queue to one goroutine. When the queue is full, or
// more lines come in a second than are allowed, lines are dropped and counted,
// and the next line that fits tells how many were lost.
package logsink

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mulberrypier.example/pier/outcome"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 512
	// linesPerSecond bounds the lines of a process.
	linesPerSecond = 400
)

// Config constructs a Sink.
type Config struct {
	// Level is debug, info, warn or error.
	Level string
	Out   io.Writer
}

// Sink is the end of a process's logs. It is safe for concurrent use.
type Sink struct {
	c     Config
	zap   *zap.Logger
	lines chan []byte
	lost  atomic.Uint64
	done  chan struct{}

	mu sync.Mutex
	// second and count bound the lines of the current second.
	second int64
	count  int
}

// New returns a sink that writes until Close. An error is an *outcome.Error.
func New(c Config) (*Sink, error) {
	l, err := zapcore.ParseLevel(c.Level)
	if err != nil {
		return nil, outcome.RefuseFor(outcome.ReasonBadRequest, "log-level", err)
	}
	s := &Sink{c: c, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.ISO8601TimeEncoder
	e.EncodeDuration = zapcore.StringDurationEncoder
	s.zap = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(e), s, l))
	go s.run()
	return s, nil
}

// Zap returns the logger that writes to the sink.
func (s *Sink) Zap() *zap.Logger { return s.zap }

// Write queues a line; it never blocks and never fails.
func (s *Sink) Write(b []byte) (int, error) {
	if !s.allowed(time.Now().Unix()) {
		s.lost.Add(1)
		return len(b), nil
	}
	select {
	case s.lines <- bytes.Clone(b):
	default:
		s.lost.Add(1)
	}
	return len(b), nil
}

// Sync does nothing: lines are on their way already.
func (s *Sink) Sync() error { return nil }

func (s *Sink) allowed(second int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.second != second {
		s.second, s.count = second, 0
	}
	s.count++
	return s.count <= linesPerSecond
}

func (s *Sink) run() {
	defer close(s.done)
	for b := range s.lines {
		if n := s.lost.Swap(0); n > 0 {
			s.out([]byte(`{"level":"warn","msg":"log: lines were dropped","lines":` + strconv.FormatUint(n, 10) + "}\n"))
		}
		s.out(b)
	}
}

// out writes a line. A failure cannot be logged anywhere, so it only counts as a
// lost line.
func (s *Sink) out(b []byte) {
	if _, err := s.c.Out.Write(b); err != nil {
		s.lost.Add(1)
	}
}

// closeLimit is how long Close waits for the queued lines.
const closeLimit = 200 * time.Millisecond

// Close writes what is queued and ends the sink; nothing may be logged after it.
func (s *Sink) Close() {
	close(s.lines)
	select {
	case <-s.done:
	case <-time.After(closeLimit):
	}
}
