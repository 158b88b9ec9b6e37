// Package logsink writes structured logs without ever blocking the goroutine that logs.
//
// Lines pass through a bounded queue to one goroutine that writes them. When the queue is
// full, or the limit of lines per second is exceeded, lines are dropped and counted, and a
// line that states their number precedes the next one that is written.
package logsink

import (
	"bytes"
	"encoding/json"
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
	// queueLines is the capacity of the queue of lines to be written.
	queueLines = 512
	// linesPerSecond is the maximum number of lines that a process logs in a second.
	linesPerSecond = 400
	// maxLineBytes is the length of the longest line that is written whole. Of a longer one the first
	// truncatedBytes are written. Lines contain texts of callers, such as ids of requests.
	maxLineBytes   = 8 << 10
	truncatedBytes = 1 << 10
)

// Config configures a Sink.
type Config struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string
	// Out is where the lines are written.
	Out io.Writer
}

// Sink receives the log lines of a process. It is safe for concurrent use.
type Sink struct {
	c     Config
	zap   *zap.Logger
	lines chan []byte
	// dropped counts the lines that were dropped and not reported yet.
	dropped atomic.Uint64
	// done is closed once all queued lines were written after Close.
	done chan struct{}

	mu sync.Mutex
	// closed is set by Close. mu is held while a line is queued, so that none is queued later.
	closed bool
	// second is the Unix time of the newest line in seconds, and count the number of lines
	// in that second.
	second int64
	count  int
}

// New returns a sink and starts its writer, which runs until Close. It returns an
// *outcome.Error if c.Level is not a level.
func New(c Config) (*Sink, error) {
	l, err := zapcore.ParseLevel(c.Level)
	if err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "log-level", err)
	}
	s := &Sink{c: c, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	e := zap.NewProductionEncoderConfig()
	e.EncodeTime = zapcore.ISO8601TimeEncoder
	e.EncodeDuration = zapcore.StringDurationEncoder
	s.zap = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(e), s, l))
	go s.writeQueued()
	return s, nil
}

// Logger returns the logger that writes to the sink.
func (s *Sink) Logger() *zap.Logger { return s.zap }

// Write queues a copy of a line or drops it, as it does with all lines after Close. It never
// blocks on the output and never fails.
func (s *Sink) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.withinRate(time.Now().Unix()) {
		s.dropped.Add(1)
		return len(b), nil
	}
	select {
	case s.lines <- boundedLine(b):
	default:
		s.dropped.Add(1)
	}
	return len(b), nil
}

// truncatedLine is written in place of a line that is too long.
type truncatedLine struct {
	Level string `json:"level"`
	Msg   string `json:"msg"`
	Bytes int    `json:"bytes"`
	// Start is the beginning of the line.
	Start string `json:"start"`
}

// boundedLine returns a copy of a line, or a shorter line in its place.
func boundedLine(b []byte) []byte {
	if len(b) <= maxLineBytes {
		return bytes.Clone(b)
	}
	l, err := json.Marshal(truncatedLine{Level: "warn", Msg: "log: line truncated", Bytes: len(b), Start: string(b[:truncatedBytes])})
	if err != nil {
		return append(bytes.Clone(b[:truncatedBytes]), '\n')
	}
	return append(l, '\n')
}

// Sync does nothing, as queued lines are written without it.
func (s *Sink) Sync() error { return nil }

// withinRate counts a line in the given second and reports whether linesPerSecond is not
// exceeded. The caller holds mu.
func (s *Sink) withinRate(second int64) bool {
	if s.second != second {
		s.second, s.count = second, 0
	}
	s.count++
	return s.count <= linesPerSecond
}

// writeQueued writes the queued lines until the queue is closed.
func (s *Sink) writeQueued() {
	defer close(s.done)
	for b := range s.lines {
		if n := s.dropped.Swap(0); n > 0 {
			s.writeLine([]byte(`{"level":"warn","msg":"log: lines were dropped","lines":` + strconv.FormatUint(n, 10) + "}\n"))
		}
		s.writeLine(b)
	}
}

// writeLine writes a line. A failure cannot be logged, so the line only counts as dropped.
func (s *Sink) writeLine(b []byte) {
	if _, err := s.c.Out.Write(b); err != nil {
		s.dropped.Add(1)
	}
}

// closeTimeout is how long Close waits until the queued lines are written.
const closeTimeout = 200 * time.Millisecond

// Close waits until the queued lines are written, for at most closeTimeout, and stops the
// sink. Lines that are logged later are dropped.
func (s *Sink) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.lines)
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
