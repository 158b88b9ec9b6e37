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

// LogConfig configures a Log.
type LogConfig struct {
	Address netip.AddrPort
	// Rate is the greatest number of appends a second; 0 means 400.
	Rate float64
	// RetainedRecords is the number of records that each stream retains; 0 means all.
	RetainedRecords int
}

// Log stands in for the platform's append-only log service. It holds all records in
// memory.
type Log struct {
	baseServer
	c     LogConfig
	limit *rate.Limiter
	m     sync.Mutex
	// streams holds the retained records of each stream.
	streams     map[string]*logStream
	unavailable bool
	// drop is the number of further appends whose response is to be dropped.
	drop int
	// appends counts the accepted appends by stream.
	appends map[string]int
}

type logStream struct {
	// oldest is the offset of records[0].
	oldest  int64
	records []logservice.Record
	// changed is closed and replaced at each append.
	changed chan struct{}
}

// NewLog starts an empty log that serves at c.Address.
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

// SetUnavailable starts or ends an outage, during which every request is refused.
func (l *Log) SetUnavailable(b bool) {
	l.m.Lock()
	l.unavailable = b
	l.m.Unlock()
}

// DropAppendResponses makes the log store the next n appends but close the connection
// instead of answering, so that the client cannot tell whether they were stored.
func (l *Log) DropAppendResponses(n int) {
	l.m.Lock()
	l.drop = n
	l.m.Unlock()
}

// Expire removes all but the newest n records of a stream.
func (l *Log) Expire(stream string, n int) {
	l.m.Lock()
	defer l.m.Unlock()
	l.stream(stream).expire(n)
}

// Appends returns the number of accepted appends by stream.
func (l *Log) Appends() map[string]int {
	l.m.Lock()
	defer l.m.Unlock()
	r := make(map[string]int)
	for k, v := range l.appends {
		r[k] = v
	}
	return r
}

// NextOffset returns the offset that the next record of a stream will get. It equals
// the number of records ever appended to the stream.
func (l *Log) NextOffset(stream string) int64 {
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

// expire removes all but the newest keep records.
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
	if l.unavailable {
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
	if l.c.RetainedRecords > 0 {
		s.expire(l.c.RetainedRecords)
	}
	l.appends[n]++
	close(s.changed)
	s.changed = make(chan struct{})
	drop := l.drop > 0
	if drop {
		l.drop--
	}
	l.m.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, logservice.AppendAnswer{First: first})
}

func (l *Log) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(q.Get("max"))
	ms, _ := strconv.Atoi(q.Get("wait"))
	end := time.Now().Add(time.Duration(ms) * time.Millisecond)
	for {
		l.m.Lock()
		if l.unavailable {
			l.m.Unlock()
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		s := l.stream(r.PathValue("stream"))
		p := logservice.Page{Oldest: s.oldest, Next: s.next()}
		i := max(0, from-s.oldest)
		if i < int64(len(s.records)) {
			p.Records = append(p.Records, s.records[i:min(int64(len(s.records)), i+int64(limit))]...)
		}
		changed := s.changed
		l.m.Unlock()
		left := time.Until(end)
		if len(p.Records) > 0 || left <= 0 {
			writeJSON(w, p)
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
