package standin

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mulberrypier.example/pier/logservice"
)

// LogConfig constructs a Log.
type LogConfig struct {
	Address netip.AddrPort
	// Rate is the appends a second; 0 means 400.
	Rate float64
	// Keep is the number of records that a stream keeps; 0 means all.
	Keep int
}

// Log is the stand-in of the platform's append-only log service.
type Log struct {
	listener
	c     LogConfig
	limit *rate.Limiter
	m     sync.Mutex
	// streams holds the records that are kept, with the offset of the first.
	streams map[string]*logStream
	down    bool
	// lose counts appends whose answer is still to be lost.
	lose int
	// appends counts the appends taken, by stream.
	appends map[string]int
}

type logStream struct {
	oldest  int64
	records []logservice.Record
	changed chan struct{}
}

// NewLog returns a log that serves.
func NewLog(c LogConfig) (*Log, error) {
	if c.Rate == 0 {
		c.Rate = 400
	}
	l := &Log{c: c, limit: rate.NewLimiter(rate.Limit(c.Rate), int(c.Rate)), streams: make(map[string]*logStream), appends: make(map[string]int)}
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/streams/{stream}/records", l.append)
	m.HandleFunc("GET /v1/streams/{stream}/records", l.read)
	return l, l.start(c.Address, m)
}

// SetDown begins or ends an outage: every request is refused.
func (l *Log) SetDown(b bool) {
	l.m.Lock()
	l.down = b
	l.m.Unlock()
}

// LoseAnswers takes the next n appends and loses their answers.
func (l *Log) LoseAnswers(n int) {
	l.m.Lock()
	l.lose = n
	l.m.Unlock()
}

// Expire drops all but the newest n records of a stream.
func (l *Log) Expire(stream string, n int) {
	l.m.Lock()
	defer l.m.Unlock()
	l.stream(stream).expire(n)
}

// Appends returns the number of appends taken, by stream.
func (l *Log) Appends() map[string]int {
	l.m.Lock()
	defer l.m.Unlock()
	r := make(map[string]int)
	for k, v := range l.appends {
		r[k] = v
	}
	return r
}

// Len returns the number of records that were ever appended to a stream.
func (l *Log) Len(stream string) int64 {
	l.m.Lock()
	defer l.m.Unlock()
	return l.stream(stream).next()
}

func (l *Log) stream(n string) *logStream {
	s := l.streams[n]
	if s == nil {
		s = &logStream{changed: make(chan struct{})}
		l.streams[n] = s
	}
	return s
}

func (s *logStream) next() int64 { return s.oldest + int64(len(s.records)) }

func (s *logStream) expire(keep int) {
	if d := len(s.records) - keep; d > 0 {
		s.records = append([]logservice.Record(nil), s.records[d:]...)
		s.oldest += int64(d)
	}
}

func (l *Log) append(w http.ResponseWriter, r *http.Request) {
	var q logservice.AppendRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !l.limit.Allow() {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	l.m.Lock()
	if l.down {
		l.m.Unlock()
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	n := r.PathValue("stream")
	s := l.stream(n)
	first := s.next()
	for i, b := range q.Records {
		s.records = append(s.records, logservice.Record{Offset: first + int64(i), Time: time.Now(), Data: b})
	}
	if l.c.Keep > 0 {
		s.expire(l.c.Keep)
	}
	l.appends[n]++
	close(s.changed)
	s.changed = make(chan struct{})
	lose := l.lose > 0
	if lose {
		l.lose--
	}
	l.m.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	reply(w, logservice.AppendAnswer{First: first})
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	most, _ := strconv.Atoi(q.Get("max"))
	ms, _ := strconv.Atoi(q.Get("wait"))
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		l.m.Lock()
		if l.down {
			l.m.Unlock()
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		s := l.stream(r.PathValue("stream"))
		p := logservice.Page{Oldest: s.oldest, Next: s.next()}
		i := max(0, from-s.oldest)
		if i < int64(len(s.records)) {
			p.Records = append(p.Records, s.records[i:min(int64(len(s.records)), i+int64(most))]...)
		}
		changed := s.changed
		l.m.Unlock()
		left := time.Until(end)
		if len(p.Records) > 0 || left <= 0 {
			reply(w, p)
			return
		}
		select {
		case <-changed:
		case <-time.After(min(left, 100*time.Millisecond)):
		case <-r.Context().Done():
			return
		}
	}
}
