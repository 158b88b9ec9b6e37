// Package memlog is a stand-in of a partitioned log, in memory, with the faults
// that tests bring about: outages, lost answers, late appends, expiry.
package memlog

import (
	"context"
	"slices"
	"sync"
	"time"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
)

// Log is a partitioned log in memory. It is safe for concurrent use.
type Log struct {
	mu     sync.Mutex
	parts  map[partitionlog.Partition]*partition
	groups map[string]*group
	// count is the number of partitions of each topic.
	count int
	down  bool
	// lose and late count appends whose answer is lost, done now or by Late.
	lose    int
	delay   int
	delayed []partitionlog.AppendRequest
}

type partition struct {
	first   int64
	records [][]byte
	changed chan struct{}
}

type group struct {
	generation int64
	members    []member
}

// member is in its group until it has been silent for its time to live.
type member struct {
	name  string
	until time.Time
}

// New returns an empty log with count partitions for each topic.
func New(count int) *Log {
	return &Log{parts: make(map[partitionlog.Partition]*partition), groups: make(map[string]*group), count: count}
}

// Seam returns the log as the product sees it.
func (l *Log) Seam() partitionlog.Log {
	return partitionlog.Log{Append: l.append, Read: l.read, Newest: l.newest, Join: l.join, Leave: l.leave}
}

// SetDown begins or ends an outage in which every call is refused.
func (l *Log) SetDown(b bool) {
	l.mu.Lock()
	l.down = b
	l.mu.Unlock()
}

// LoseAnswers carries out the next n appends and loses their answers.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	l.lose = n
	l.mu.Unlock()
}

// DelayAppends leaves the next n appends unanswered until Late carries them out.
func (l *Log) DelayAppends(n int) {
	l.mu.Lock()
	l.delay = n
	l.mu.Unlock()
}

// Late carries out the delayed appends whose conditions still hold.
func (l *Log) Late() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.delayed {
		p := l.part(q.Partition)
		if q.At == partitionlog.NoCondition || q.At == p.end() {
			p.add(q.Records)
		}
	}
	l.delayed = nil
}

// Expire drops the records of a partition before an offset.
func (l *Log) Expire(p partitionlog.Partition, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.part(p)
	n := min(max(before-x.first, 0), int64(len(x.records)))
	x.records = x.records[n:]
	x.first += n
}

func (l *Log) part(p partitionlog.Partition) *partition {
	x := l.parts[p]
	if x == nil {
		x = &partition{changed: make(chan struct{})}
		l.parts[p] = x
	}
	return x
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

func (p *partition) add(r [][]byte) partitionlog.Appended {
	a := partitionlog.Appended{First: p.end()}
	p.records = append(p.records, r...)
	a.End = p.end()
	close(p.changed)
	p.changed = make(chan struct{})
	return a
}

func (l *Log) append(_ context.Context, q partitionlog.AppendRequest) (partitionlog.Appended, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return partitionlog.Appended{}, outcome.Refuse(outcome.ReasonLogDown, q.Partition.Topic)
	}
	if l.delay > 0 {
		l.delay--
		l.delayed = append(l.delayed, q)
		return partitionlog.Appended{}, outcome.Lost(outcome.ReasonLogDown, q.Partition.Topic, nil)
	}
	p := l.part(q.Partition)
	if q.At != partitionlog.NoCondition && q.At != p.end() {
		return partitionlog.Appended{End: p.end()}, outcome.Refuse(partitionlog.ReasonMoved, q.Partition.Topic)
	}
	a := p.add(q.Records)
	if l.lose > 0 {
		l.lose--
		return partitionlog.Appended{}, outcome.Lost(outcome.ReasonLogDown, q.Partition.Topic, nil)
	}
	return a, nil
}

func (l *Log) read(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
	t := time.NewTimer(q.Wait)
	defer t.Stop()
	for {
		g, changed, err := l.look(q)
		if err != nil || len(g.Records) > 0 {
			return g, err
		}
		select {
		case <-ctx.Done():
			return partitionlog.Page{}, outcome.Lost(outcome.ReasonDeadline, q.Partition.Topic, ctx.Err())
		case <-t.C:
			return g, nil
		case <-changed:
		}
	}
}

func (l *Log) look(q partitionlog.ReadRequest) (partitionlog.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return partitionlog.Page{}, nil, outcome.Refuse(outcome.ReasonLogDown, q.Partition.Topic)
	}
	p := l.part(q.Partition)
	g := partitionlog.Page{From: q.From, First: p.first, End: p.end()}
	if q.From < p.first {
		return g, nil, outcome.Refuse(partitionlog.ReasonExpired, q.Partition.Topic)
	}
	n := 0
	for i := q.From - p.first; i < int64(len(p.records)); i++ {
		n += len(p.records[i])
		if n > q.MaxBytes && len(g.Records) > 0 {
			break
		}
		g.Records = append(g.Records, p.records[i])
	}
	return g, p.changed, nil
}

func (l *Log) newest(_ context.Context, topic string) (partitionlog.Newest, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return partitionlog.Newest{}, outcome.Refuse(outcome.ReasonLogDown, topic)
	}
	p := l.part(partitionlog.Partition{Topic: topic})
	m := make(map[string]int)
	r := partitionlog.Newest{End: p.end()}
	for i, b := range p.records {
		k, v, ok := partitionlog.SplitKeyed(b)
		if !ok {
			continue
		}
		if j, old := m[k]; old {
			r.Records[j].Key = ""
		}
		m[k] = len(r.Records)
		r.Records = append(r.Records, partitionlog.KeyedRecord{Key: k, Value: v, Offset: p.first + int64(i)})
	}
	kept := r.Records[:0]
	for _, k := range r.Records {
		if k.Key != "" && len(k.Value) > 0 {
			kept = append(kept, k)
		}
	}
	r.Records = kept
	return r, nil
}

func (l *Log) join(_ context.Context, q partitionlog.JoinRequest) (partitionlog.Membership, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return partitionlog.Membership{}, outcome.Refuse(outcome.ReasonLogDown, q.Group)
	}
	g := l.groups[q.Group]
	if g == nil {
		g = &group{}
		l.groups[q.Group] = g
	}
	now := time.Now()
	n := len(g.members)
	g.members = slices.DeleteFunc(g.members, func(m member) bool { return m.name != q.Member && now.After(m.until) })
	at := slices.IndexFunc(g.members, func(m member) bool { return m.name == q.Member })
	if at < 0 {
		at = len(g.members)
		g.members = append(g.members, member{name: q.Member})
	}
	g.members[at].until = now.Add(q.TTL)
	if len(g.members) != n || at == n {
		g.generation++
	}
	r := partitionlog.Membership{Generation: g.generation}
	for _, t := range q.Topics {
		for i := at; i < l.count; i += len(g.members) {
			r.Parts = append(r.Parts, partitionlog.Partition{Topic: t, Part: i})
		}
	}
	return r, nil
}

func (l *Log) leave(_ context.Context, in, name string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[in]
	if g == nil {
		return nil
	}
	n := len(g.members)
	g.members = slices.DeleteFunc(g.members, func(m member) bool { return m.name == name })
	if len(g.members) != n {
		g.generation++
	}
	return nil
}
