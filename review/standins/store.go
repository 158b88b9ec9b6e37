package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"mulberrypier.example/pier/memlog"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
)

const (
	// partitions is the number of partitions of each topic.
	partitions = 24
	// storeDelay is the time that the store takes for a call.
	storeDelay = 4 * time.Millisecond
)

// store is a stand-in of the platform's store, without faults of its own.
type store struct {
	log      partitionlog.Log
	listener net.Listener
	http     *http.Server
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{log: memlog.New(partitions).Functions(), listener: l}
	m := http.NewServeMux()
	m.HandleFunc("POST "+names["append"], s.append)
	m.HandleFunc("GET "+names["read"], s.read)
	m.HandleFunc("GET "+names["newest"], s.newest)
	m.HandleFunc("POST "+names["join"], s.join)
	m.HandleFunc("POST "+names["leave"], s.leave)
	m.HandleFunc("GET "+names["owners"], s.owners)
	s.http = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		m.ServeHTTP(w, r)
	})}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.http.Close() }

// put writes the newest record of a key, as the operator and the servers do.
func (s *store) put(topic, key string, value []byte) {
	_, _ = s.log.Append(context.Background(), partitionlog.AppendRequest{
		Partition: partitionlog.Partition{Topic: topic}, Records: [][]byte{partitionlog.EncodeKeyed(key, value)},
		ExpectedEnd: partitionlog.NoCondition,
	})
}

func partitionOf(r *http.Request) partitionlog.Partition {
	n, _ := strconv.Atoi(r.URL.Query().Get("part"))
	return partitionlog.Partition{Topic: r.URL.Query().Get("topic"), Number: n}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	q := partitionlog.AppendRequest{Partition: partitionOf(r), ExpectedEnd: partitionlog.NoCondition}
	if v := r.URL.Query().Get("at"); v != "" {
		q.ExpectedEnd, _ = strconv.ParseInt(v, 10, 64)
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for len(b) >= 4 {
		n := binary.BigEndian.Uint32(b)
		q.Records = append(q.Records, b[4:4+n])
		b = b[4+n:]
	}
	a, err := s.log.Append(context.Background(), q)
	if err != nil {
		w.WriteHeader(http.StatusPreconditionFailed)
		reply(w, map[string]int64{"end_offset": a.End})
		return
	}
	reply(w, map[string]int64{"offset": a.First, "end_offset": a.End})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	kb, _ := strconv.Atoi(r.URL.Query().Get("max_kb"))
	p, err := s.log.Read(r.Context(), partitionlog.ReadRequest{
		Partition: partitionOf(r), From: from, Wait: time.Duration(wait) * time.Millisecond, MaxBytes: kb << 10,
	})
	if outcome.HasReason(err, partitionlog.ReasonExpired) {
		w.WriteHeader(http.StatusGone)
		reply(w, map[string]int64{"first": p.First})
		return
	}
	if err != nil {
		return
	}
	b := binary.BigEndian.AppendUint64(nil, uint64(p.End))
	b = binary.BigEndian.AppendUint64(b, uint64(p.First))
	for _, x := range p.Records {
		b = binary.BigEndian.AppendUint32(b, uint32(len(x)))
		b = append(b, x...)
	}
	_, _ = w.Write(b)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	n, err := s.log.Newest(r.Context(), partitionOf(r))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	items := []map[string]any{}
	for _, k := range n.Records {
		items = append(items, map[string]any{"key": k.Key, "value": k.Value, "offset": k.Offset})
	}
	reply(w, map[string]any{"items": items, "more_pages": false, "end_offset": n.End})
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Group      string   `json:"group"`
		Member     string   `json:"member"`
		Topics     []string `json:"topics"`
		TTLMS      int64    `json:"ttl_ms"`
		Generation int64    `json:"generation"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m, err := s.log.Join(r.Context(), partitionlog.JoinRequest{
		Group: q.Group, Member: q.Member, Topics: q.Topics, TTL: time.Duration(q.TTLMS) * time.Millisecond, Generation: q.Generation,
	})
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rows := [][]any{}
	for _, p := range m.Parts {
		rows = append(rows, []any{p.Topic, p.Number, 0})
	}
	reply(w, map[string]any{"generation": m.Generation, "ttl_ms": q.TTLMS, "parts": rows})
}

func (s *store) owners(w http.ResponseWriter, r *http.Request) {
	l, err := s.log.Members(r.Context(), r.URL.Query().Get("group"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	rows := [][]any{}
	for i, m := range l {
		rows = append(rows, []any{"steps", i, m, 0})
	}
	reply(w, map[string]any{"owners": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var q struct{ Group, Member string }
	if json.NewDecoder(r.Body).Decode(&q) == nil {
		_ = s.log.Leave(r.Context(), q.Group, q.Member)
	}
	reply(w, map[string]any{})
}
