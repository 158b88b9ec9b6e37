package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: a log of topics with partitions, the newest record of each
// key of keyed topics, and one consumer group. It keeps everything in memory and answers each call after answerTime.
type store struct {
	answerTime time.Duration
	// onAppend, if not nil, is called after an append was made and before it is answered.
	onAppend func(topic string, records [][]byte)

	mu      sync.Mutex
	parts   map[string]*storePart
	members map[string]time.Time
	// generation counts the changes of the group.
	generation int64
	owners     []string
	groupParts int
}

type storePart struct {
	records [][]byte
	changed chan struct{}
}

func newStore(partitions int) *store {
	return &store{
		answerTime: 4 * time.Millisecond, parts: make(map[string]*storePart), members: make(map[string]time.Time),
		owners: make([]string, partitions), groupParts: partitions,
	}
}

// part returns a partition. The caller holds mu.
func (s *store) part(topic, number string) *storePart {
	k := topic + "/" + number
	p := s.parts[k]
	if p == nil {
		p = &storePart{changed: make(chan struct{})}
		s.parts[k] = p
	}
	return p
}

// put appends the record of a key to a keyed topic, as the operator and the servers do.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add([][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

func (p *storePart) add(r [][]byte) {
	p.records = append(p.records, r...)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (s *store) serve(l net.Listener) { _ = http.Serve(l, s) }

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.answerTime)
	switch call := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]; call {
	case "log-append":
		s.append(w, r, body)
	case "log-read":
		s.read(w, r)
	case "log-newest":
		s.newest(w, r)
	case "log-join", "log-leave":
		s.group(w, call, body)
	case "log-owners":
		s.listOwners(w)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	q := r.URL.Query()
	var l [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		l = append(l, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	topic := q.Get("topic")
	s.mu.Lock()
	p := s.part(topic, q.Get("part"))
	first := len(p.records)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(first) {
		s.mu.Unlock()
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"end_offset": first})
		return
	}
	p.add(l)
	s.mu.Unlock()
	if s.onAppend != nil {
		s.onAppend(topic, l)
	}
	answerJSON(w, http.StatusOK, map[string]any{"offset": first, "end_offset": first + len(l)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	most := 1024
	if n, err := strconv.Atoi(q.Get("max_kb")); err == nil {
		most = n
	}
	timeUp := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeUp.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		l, changed := p.records, p.changed
		s.mu.Unlock()
		if from < len(l) || !waiting {
			writePage(w, l, from, most<<10)
			return
		}
		select {
		case <-changed:
		case <-timeUp.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func writePage(w http.ResponseWriter, l [][]byte, from, most int) {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(l)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for i := from; i < len(l); i++ {
		if i > from && len(b)+len(l[i]) > most {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(l[i])))
		b = append(b, l[i]...)
	}
	_, _ = w.Write(b)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	l := s.part(q.Get("topic"), q.Get("part")).records
	s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := make(map[string]item)
	for i, b := range l {
		k, v := string(b[1:1+int(b[0])]), b[1+int(b[0]):]
		newest[k] = item{k, base64.StdEncoding.EncodeToString(v), i}
		if len(v) == 0 {
			delete(newest, k)
		}
	}
	items := []item{}
	for k, i := range newest {
		if k > q.Get("after") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "more_pages": more, "end_offset": len(l)})
}

// group handles the calls to join and to leave the group.
func (s *store) group(w http.ResponseWriter, call string, body []byte) {
	var q struct {
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTL    int      `json:"ttl_ms"`
	}
	if json.Unmarshal(body, &q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	before := len(s.members)
	_, known := s.members[q.Member]
	if call == "log-leave" {
		delete(s.members, q.Member)
	} else {
		s.members[q.Member] = now.Add(time.Duration(q.TTL) * time.Millisecond)
	}
	for m, end := range s.members {
		if now.After(end) {
			delete(s.members, m)
		}
	}
	if len(s.members) != before || !known {
		s.deal()
	}
	parts := [][]any{}
	for i, m := range s.owners {
		if m == q.Member && len(q.Topics) > 0 {
			parts = append(parts, []any{q.Topics[0], i, 0})
		}
	}
	answerJSON(w, http.StatusOK, map[string]any{"generation": s.generation, "ttl_ms": q.TTL, "parts": parts})
}

// deal distributes the partitions evenly. The caller holds mu.
func (s *store) deal() {
	s.generation++
	var l []string
	for m := range s.members {
		l = append(l, m)
	}
	sort.Strings(l)
	for i := range s.owners {
		s.owners[i] = ""
		if len(l) > 0 {
			s.owners[i] = l[i%len(l)]
		}
	}
}

func (s *store) listOwners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	for i, m := range s.owners {
		rows = append(rows, []any{"steps", i, m, 0})
	}
	answerJSON(w, http.StatusOK, map[string]any{"owners": rows})
}
