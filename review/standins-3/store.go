package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeLatency is how long the store takes for an answer, as the users' sheets state it.
const storeLatency = 4 * time.Millisecond

// store is a stand-in for the platform's store: topics with partitions, keyed topics and groups.
type store struct {
	names   names
	parts   int
	address string

	mu      sync.Mutex
	logs    map[string]*partition
	members map[string]*member
	given   []string
	gen     int64
}

// partition holds the records of one partition.
type partition struct {
	records [][]byte
	changed chan struct{}
}

// member is a member of the only group that is used.
type member struct {
	name   string
	topics []string
	until  time.Time
}

func newStore(n names, parts int) (*store, error) {
	s := &store{names: n, parts: parts, logs: make(map[string]*partition), members: make(map[string]*member), gen: 1}
	m := http.NewServeMux()
	m.HandleFunc("POST "+n.Append, s.append)
	m.HandleFunc("GET "+n.Read, s.read)
	m.HandleFunc("GET "+n.Newest, s.newest)
	m.HandleFunc("POST "+n.Join, s.join)
	m.HandleFunc("POST "+n.Leave, s.leave)
	m.HandleFunc("POST "+n.Commit, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	m.HandleFunc("GET "+n.Owners, s.owners)
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, slow(m)) }()
	return s, nil
}

func slow(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		h.ServeHTTP(w, r)
	})
}

// at returns a partition. The caller holds mu.
func (s *store) at(topic, part string) *partition {
	k := topic + "/" + part
	p := s.logs[k]
	if p == nil {
		p = &partition{changed: make(chan struct{})}
		s.logs[k] = p
	}
	return p
}

func (p *partition) add(records [][]byte) {
	p.records = append(p.records, records...)
	close(p.changed)
	p.changed = make(chan struct{})
}

// put writes the record of a key.
func (s *store) put(topic, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	r := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at(topic, "0").add([][]byte{append(r, b...)})
}

// drop drops a key: its newest record has no value from then on.
func (s *store) drop(topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at(topic, "0").add([][]byte{append([]byte{byte(len(key))}, key...)})
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var l [][]byte
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		l = append(l, b[4:4+n])
		b = b[4+n:]
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.at(q.Get("topic"), q.Get("part"))
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(p.records)) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end_offset": len(p.records)})
		return
	}
	first := len(p.records)
	p.add(l)
	writeJSON(w, http.StatusOK, map[string]any{"offset": first, "end_offset": len(p.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	most, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		most = 1024
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.at(q.Get("topic"), q.Get("part"))
		l, changed := p.records, p.changed
		s.mu.Unlock()
		if from < len(l) || wait == 0 {
			writePage(w, l, from, most<<10)
			return
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writePage(w http.ResponseWriter, l [][]byte, from, most int) {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(l)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for i := from; i < len(l) && (i == from || len(b)+len(l[i]) < most); i++ {
		b = binary.BigEndian.AppendUint32(b, uint32(len(l[i])))
		b = append(b, l[i]...)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(b)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	l := s.at(q.Get("topic"), q.Get("part")).records
	s.mu.Unlock()
	last := make(map[string]int)
	for i, b := range l {
		last[string(b[1:1+int(b[0])])] = i
	}
	var keys []string
	for k, i := range last {
		if len(l[i]) > 1+len(k) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []any{}
	size := 0
	for _, k := range keys {
		v := l[last[k]][1+len(k):]
		if size += len(v); len(items) == 500 || size > 700<<10 && len(items) > 0 {
			break
		}
		items = append(items, map[string]any{"key": k, "value": v, "offset": last[k]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more_pages": len(items) < len(keys), "end_offset": len(l)})
}

// deal distributes the partitions evenly among the members. The caller holds mu.
func (s *store) deal() {
	now := time.Now()
	var l []string
	for n, m := range s.members {
		if now.After(m.until) {
			delete(s.members, n)
			continue
		}
		l = append(l, n)
	}
	sort.Strings(l)
	if fmt.Sprint(l) != fmt.Sprint(s.given) {
		s.given = l
		s.gen++
	}
}

func (s *store) rows(of string) [][]any {
	rows := [][]any{}
	for _, t := range s.topics() {
		for i := range s.parts {
			if len(s.given) == 0 {
				break
			}
			n := s.given[i%len(s.given)]
			switch of {
			case "":
				rows = append(rows, []any{t, i, n, 0})
			case n:
				rows = append(rows, []any{t, i, 0})
			}
		}
	}
	return rows
}

func (s *store) topics() []string {
	seen := make(map[string]bool)
	var l []string
	for _, m := range s.members {
		for _, t := range m.topics {
			if !seen[t] {
				seen[t] = true
				l = append(l, t)
			}
		}
	}
	sort.Strings(l)
	return l
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTL    int64    `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members[q.Member] = &member{name: q.Member, topics: q.Topics, until: time.Now().Add(time.Duration(q.TTL) * time.Millisecond)}
	s.deal()
	writeJSON(w, http.StatusOK, map[string]any{"generation": s.gen, "ttl_ms": q.TTL, "parts": s.rows(q.Member)})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Member string `json:"member"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.members, q.Member)
	s.deal()
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deal()
	writeJSON(w, http.StatusOK, map[string]any{"rows": s.rows("")})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
