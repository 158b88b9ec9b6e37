// Package memlog implements a partitioned log in memory, with fault injection for tests:
// outages, lost answers, delayed appends and expiry of records.
package memlog

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
)

// Log is an in-memory partitioned log. It is safe for concurrent use.
type Log struct {
	mu         sync.Mutex
	partitions map[partitionlog.Partition]*partition
	groups     map[string]*group
	// partitionCount is the number of partitions of each topic.
	partitionCount int
	// down reports whether an outage is simulated.
	down bool
	// loseNext is the number of successful appends whose answers are still to be lost.
	loseNext int
	// delayNext is the number of appends that are still to be delayed; delayed holds those
	// that were.
	delayNext int
	delayed   []partitionlog.AppendRequest
}

type partition struct {
	// first is the offset of the oldest record kept, records[0].
	first   int64
	records [][]byte
	// kept holds the newest expired record of each key, which a keyed topic keeps.
	kept map[string]partitionlog.KeyedRecord
	// changed is closed and replaced at each append.
	changed chan struct{}
}

type group struct {
	generation int64
	members    []member
	// topics are those whose partitions the members share.
	topics []string
}

// member is a member of a group. It stays in the group until its membership expires.
type member struct {
	name string
	// expires is when the membership expires unless it is renewed.
	expires time.Time
}

// New returns an empty log in which each topic has partitionCount partitions.
func New(partitionCount int) *Log {
	return &Log{partitions: make(map[partitionlog.Partition]*partition), groups: make(map[string]*group), partitionCount: partitionCount}
}

// Functions returns the functions by which the program uses the log.
func (l *Log) Functions() partitionlog.Log {
	return partitionlog.Log{Append: l.append, Read: l.read, Newest: l.newest, NewestAfter: l.newestAfter, Join: l.join, Leave: l.leave, Members: l.groupMembers}
}

// SetDown starts an outage if b is true, and ends it otherwise. During an outage every call
// except Leave fails with ReasonLogDown and has no effect.
func (l *Log) SetDown(b bool) {
	l.mu.Lock()
	l.down = b
	l.mu.Unlock()
}

// LoseAnswers makes the next n successful appends return an error of unknown outcome although
// their records are appended.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	l.loseNext = n
	l.mu.Unlock()
}

// DelayAppends makes the next n appends return an error of unknown outcome at once.
// RunDelayed carries them out.
func (l *Log) DelayAppends(n int) {
	l.mu.Lock()
	l.delayNext = n
	l.mu.Unlock()
}

// RunDelayed carries out the delayed appends. Those whose condition no longer holds are
// discarded.
func (l *Log) RunDelayed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range l.delayed {
		p := l.getPartition(q.Partition)
		if q.ExpectedEnd == partitionlog.NoCondition || q.ExpectedEnd == p.end() {
			p.appendRecords(q.Records)
		}
	}
	l.delayed = nil
}

// Expire drops the records of a partition that precede an offset. Of a keyed topic, the newest
// record of each key is still listed.
func (l *Log) Expire(p partitionlog.Partition, before int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	x := l.getPartition(p)
	n := min(max(before-x.first, 0), int64(len(x.records)))
	x.addNewest(x.kept, x.records[:n])
	x.records = x.records[n:]
	x.first += n
}

// getPartition returns a partition and creates it if needed. The caller holds mu.
func (l *Log) getPartition(p partitionlog.Partition) *partition {
	x := l.partitions[p]
	if x == nil {
		x = &partition{changed: make(chan struct{}), kept: make(map[string]partitionlog.KeyedRecord)}
		l.partitions[p] = x
	}
	return x
}

// end returns the offset of the next append.
func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// addNewest adds the newest record of each key to m. The records are those from the first on.
func (p *partition) addNewest(m map[string]partitionlog.KeyedRecord, records [][]byte) {
	for i, b := range records {
		if k, v, ok := partitionlog.DecodeKeyed(b); ok {
			m[k] = partitionlog.KeyedRecord{Key: k, Value: v, Offset: p.first + int64(i)}
		}
	}
}

// appendRecords appends records and wakes the readers that wait for them.
func (p *partition) appendRecords(r [][]byte) partitionlog.AppendResult {
	a := partitionlog.AppendResult{First: p.end()}
	p.records = append(p.records, r...)
	a.End = p.end()
	close(p.changed)
	p.changed = make(chan struct{})
	return a
}

func (l *Log) append(_ context.Context, q partitionlog.AppendRequest) (partitionlog.AppendResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return partitionlog.AppendResult{}, outcome.Refuse(outcome.ReasonLogDown, q.Partition.Topic)
	}
	if l.delayNext > 0 {
		l.delayNext--
		l.delayed = append(l.delayed, q)
		return partitionlog.AppendResult{}, outcome.Ambiguous(outcome.ReasonLogDown, q.Partition.Topic, nil)
	}
	p := l.getPartition(q.Partition)
	if q.ExpectedEnd != partitionlog.NoCondition && q.ExpectedEnd != p.end() {
		return partitionlog.AppendResult{End: p.end()}, outcome.Refuse(partitionlog.ReasonMoved,
			q.Partition.Topic)
	}
	a := p.appendRecords(q.Records)
	if l.loseNext > 0 {
		l.loseNext--
		return partitionlog.AppendResult{}, outcome.Ambiguous(outcome.ReasonLogDown, q.Partition.Topic, nil)
	}
	return a, nil
}

func (l *Log) read(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
	t := time.NewTimer(q.Wait)
	defer t.Stop()
	for {
		g, changed, err := l.readAvailable(q)
		if err != nil || len(g.Records) > 0 {
			return g, err
		}
		select {
		case <-ctx.Done():
			return partitionlog.Page{}, outcome.Ambiguous(outcome.ReasonDeadline, q.Partition.Topic, ctx.Err())
		case <-t.C:
			return g, nil
		case <-changed:
		}
	}
}

// readAvailable returns the records available now, and a channel that is closed at the next
// append to the partition.
func (l *Log) readAvailable(q partitionlog.ReadRequest) (partitionlog.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return partitionlog.Page{}, nil, outcome.Refuse(outcome.ReasonLogDown, q.Partition.Topic)
	}
	p := l.getPartition(q.Partition)
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

// newestPageKeys is the number of keys in a page of the newest records.
const newestPageKeys = 500

func (l *Log) newest(ctx context.Context, p partitionlog.Partition) (partitionlog.Newest, error) {
	return l.newestAfter(ctx, p, "")
}

func (l *Log) newestAfter(_ context.Context, at partitionlog.Partition, after string) (partitionlog.Newest, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return partitionlog.Newest{}, outcome.Refuse(outcome.ReasonLogDown, at.Topic)
	}
	p := l.getPartition(at)
	m := maps.Clone(p.kept)
	p.addNewest(m, p.records)
	r := partitionlog.Newest{End: p.end()}
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if len(m[k].Value) == 0 || after != "" && k <= after {
			continue
		}
		if len(r.Records) == newestPageKeys {
			r.More = true
			break
		}
		r.Records = append(r.Records, m[k])
	}
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
	g.members = slices.DeleteFunc(g.members, func(m member) bool { return m.name != q.Member && now.After(m.expires) })
	index := slices.IndexFunc(g.members, func(m member) bool { return m.name == q.Member })
	if index < 0 {
		index = len(g.members)
		g.members = append(g.members, member{name: q.Member})
	}
	g.members[index].expires = now.Add(q.TTL)
	if len(g.members) != n || index == n {
		g.generation++
	}
	g.topics = q.Topics
	return partitionlog.Membership{Generation: g.generation, Parts: l.partsOf(g, index)}, nil
}

func (l *Log) leave(_ context.Context, groupName, name string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.groups[groupName]
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

func (l *Log) groupMembers(_ context.Context, name string) ([]partitionlog.Member, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, outcome.Refuse(outcome.ReasonLogDown, name)
	}
	g := l.groups[name]
	if g == nil {
		return nil, nil
	}
	var r []partitionlog.Member
	for i, m := range g.members[:min(len(g.members), l.partitionCount)] {
		r = append(r, partitionlog.Member{Name: m.name, Parts: l.partsOf(g, i)})
	}
	return r, nil
}

// partsOf returns the partitions of the member at an index of a group. The caller holds mu.
func (l *Log) partsOf(g *group, index int) []partitionlog.Partition {
	var r []partitionlog.Partition
	for _, t := range g.topics {
		for i := index; i < l.partitionCount; i += len(g.members) {
			r = append(r, partitionlog.Partition{Topic: t, Number: i})
		}
	}
	return r
}
