package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	pierbackoff "mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/chart"
	"mulberrypier.example/pier/config"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

const (
	// StreamRelease is the log's stream of release notes.
	StreamRelease = "release"
	// StreamSnapshots is the log's stream of snapshots of the configuration.
	StreamSnapshots = "release-snapshots"

	// notePage is how many records one read returns at most.
	notePage = 512
	// noteWait is how long a read waits for new records.
	noteWait = 2 * time.Second
	// tailKept is how many records are kept for other hosts.
	tailKept = 4096
	// snapshotEvery is the number of records after which one host appends a
	// snapshot, so that none is lost when records expire.
	snapshotEvery = 512
	// acceptLimit is how long a publisher waits for its note to be folded, and
	// for all hosts to have it in force.
	acceptLimit = 10 * time.Second
	// revisionPoll is the time between two looks at the hosts' revisions.
	revisionPoll = 50 * time.Millisecond
)

var noteChart = chart.Load("note")

// notes is the shell of package config: it reads the release stream, from the
// log or from other hosts, and holds the configuration in force.
type notes struct {
	d   *Daemon
	log *zap.Logger
	// now is the configuration in force; it is replaced, never changed.
	now atomic.Pointer[config.Snapshot]

	mu sync.Mutex
	// tailOf holds the newest records, contiguous up to the snapshot's Next.
	tailOf []entryhost.NoteRecord
	// changed is closed and replaced when a record was folded.
	changed chan struct{}
	// snapshotAt is the offset of the newest snapshot that was appended or seen.
	snapshotAt int64
	fetching   atomic.Bool
}

func newNotes(d *Daemon) *notes {
	n := &notes{d: d, log: d.logger("notes"), changed: make(chan struct{})}
	n.now.Store(config.New())
	return n
}

// snapshot returns the configuration in force.
func (n *notes) snapshot() *config.Snapshot { return n.now.Load() }

// run follows the release stream in the log.
func (n *notes) run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	booted := false
	for ctx.Err() == nil {
		var err error
		if !booted {
			err = n.boot(ctx)
			booted = err == nil
		} else {
			err = n.read(ctx)
		}
		if err == nil {
			b.Reset()
			continue
		}
		if ctx.Err() == nil {
			n.d.metrics.retry("log-read", err)
			pierbackoff.For(ctx, b.NextBackOff())
		}
	}
}

// boot takes the newest snapshot in the log, if there is one.
func (n *notes) boot(ctx context.Context) error {
	p, err := n.d.log.Read(ctx, StreamSnapshots, 0, 1, 0)
	if err != nil || p.Next == 0 {
		return err
	}
	p, err = n.d.log.Read(ctx, StreamSnapshots, max(p.Oldest, p.Next-1), 1, 0)
	if err != nil || len(p.Records) == 0 {
		return err
	}
	s, err := config.Decode(p.Records[0].Data)
	if err != nil {
		n.log.Warn("snapshot in the log cannot be read", zap.Error(err))
		return nil
	}
	n.adopt(s)
	return nil
}

// read takes the next page of the release stream.
func (n *notes) read(ctx context.Context) error {
	from := n.snapshot().Next()
	p, err := n.d.log.Read(ctx, StreamRelease, from, notePage, noteWait)
	if err != nil {
		return err
	}
	if p.Oldest > n.snapshot().Next() {
		n.log.Warn("records expired before they were read", zap.Int64("from", from), zap.Int64("oldest", p.Oldest))
		n.d.metrics.retries.WithLabelValues("log-read", "gap").Inc()
		return n.mend(ctx)
	}
	for _, r := range p.Records {
		n.fold(r.Offset, r.Data)
	}
	n.maybeSnapshot(ctx)
	return nil
}

// mend closes a gap from a snapshot in the log or from another host.
func (n *notes) mend(ctx context.Context) error {
	from := n.snapshot().Next()
	if err := n.boot(ctx); err != nil {
		return err
	}
	for _, m := range n.d.members.live() {
		if n.snapshot().Next() > from {
			return nil
		}
		if m.ID != n.d.id {
			n.fetch(m.ID)
		}
	}
	if n.snapshot().Next() > from {
		return nil
	}
	return outcome.Refuse(outcome.ReasonLogDown, "gap in the release stream")
}

// heard takes the offset that another host has folded; one ahead of this host is
// asked for what is missing, so notes spread while the log is down.
func (n *notes) heard(id string, offset int64) {
	if offset <= n.snapshot().Next() || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
		n.fetch(id)
	}()
}

// fetch takes the records after this host's from another one.
func (n *notes) fetch(id string) {
	ctx, cancel := context.WithTimeout(n.d.ctx, 2*time.Second)
	defer cancel()
	var a entryhost.TailAnswer
	q := entryhost.TailRequest{From: n.snapshot().Next()}
	if err := n.d.call(ctx, id, entryhost.Tail, &q, &a); err != nil {
		n.d.metrics.retry("note-fetch", err)
		return
	}
	if len(a.Snapshot) > 0 {
		s, err := config.Decode(a.Snapshot)
		if err != nil {
			n.d.metrics.retry("note-fetch", err)
			return
		}
		n.adopt(s)
	}
	for _, r := range a.Records {
		n.fold(r.Offset, r.Data)
	}
}

// tail returns the records from an offset on, or a snapshot.
func (n *notes) tail(from int64) *entryhost.TailAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.snapshot()
	if from >= s.Next() {
		return &entryhost.TailAnswer{}
	}
	if len(n.tailOf) == 0 || n.tailOf[0].Offset > from {
		return &entryhost.TailAnswer{Snapshot: s.Encode()}
	}
	i := from - n.tailOf[0].Offset
	return &entryhost.TailAnswer{Records: append([]entryhost.NoteRecord(nil), n.tailOf[i:]...)}
}

// adopt takes a snapshot that is ahead of the configuration in force.
func (n *notes) adopt(s *config.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.Next() <= n.snapshot().Next() {
		return
	}
	n.tailOf = nil
	n.snapshotAt = max(n.snapshotAt, s.Next())
	n.put(s)
}

// fold takes the record at an offset if it is the next one.
func (n *notes) fold(offset int64, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.snapshot()
	if offset != s.Next() {
		return
	}
	n.tailOf = append(n.tailOf, entryhost.NoteRecord{Offset: offset, Data: data})
	if len(n.tailOf) > tailKept {
		n.tailOf = append([]entryhost.NoteRecord(nil), n.tailOf[tailKept/2:]...)
	}
	var r release.Note
	if err := msgpack.Unmarshal(data, &r); err != nil {
		n.log.Warn("record skipped", zap.Int64("offset", offset), zap.Error(err))
		n.put(s.Skip(offset))
		return
	}
	c, v := s.Apply(offset, &r)
	n.log.Info("note folded", zap.String("note", r.ID), zap.Int64("revision", c.Revision()), zap.Bool("accepted", v.Err == nil))
	n.put(c)
}

// put makes s the configuration in force; n.mu is held.
func (n *notes) put(s *config.Snapshot) {
	n.now.Store(s)
	close(n.changed)
	n.changed = make(chan struct{})
	n.d.metrics.revision.Set(float64(s.Revision()))
	go func() {
		n.d.members.setOffset(s.Next())
		n.d.owners.refresh()
	}()
}

// waiting returns a channel that is closed at the next change.
func (n *notes) waiting() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *notes) answer() *entryhost.RevisionAnswer {
	s := n.snapshot()
	return &entryhost.RevisionAnswer{Revision: s.Revision(), Next: s.Next()}
}

// maybeSnapshot appends a snapshot when many records came since the last one and
// this host holds the role. Two holders only append the same twice.
func (n *notes) maybeSnapshot(ctx context.Context) {
	s := n.snapshot()
	n.mu.Lock()
	due := s.Next()-n.snapshotAt >= snapshotEvery
	n.mu.Unlock()
	id, err := n.d.members.holder("release-snapshot", "")
	if !due || err != nil || id != n.d.id {
		return
	}
	if _, err := n.d.log.Append(ctx, StreamSnapshots, s.Encode()); err != nil {
		n.d.metrics.retry("log-append", err)
		return
	}
	n.mu.Lock()
	n.snapshotAt = s.Next()
	n.mu.Unlock()
	n.log.Info("snapshot appended", zap.Int64("next", s.Next()))
}

// Published is the answer to an operator who published a note.
type Published struct {
	// State is the final state of the note chart.
	State    chart.State    `json:"state"`
	Verdict  config.Verdict `json:"verdict"`
	Hosts    int            `json:"hosts"`
	InForce  int            `json:"in-force"`
	Behind   []string       `json:"behind,omitempty"`
	Duration time.Duration  `json:"duration-ns"`
}

// publish appends a note and follows it until it is in force on all live hosts.
// Errors are *outcome.Error: not-run when the note cannot be in the log, unknown
// when it may be; a rejected note is no error.
func (n *notes) publish(ctx context.Context, note *release.Note) (*Published, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, acceptLimit)
	defer cancel()
	p := &Published{State: noteChart.Initial()}
	b, err := msgpack.Marshal(note)
	if err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	if err := n.append(ctx, p, b); err != nil {
		return nil, err
	}
	v, err := n.verdict(ctx, note.ID)
	if err != nil {
		noteChart.Fire(&p.State, "limit")
		return nil, err
	}
	p.Verdict = v
	if v.Err != nil {
		noteChart.Fire(&p.State, "rejected")
		return p, nil
	}
	noteChart.Fire(&p.State, "folded")
	if n.everywhere(ctx, v.Revision, p) {
		noteChart.Fire(&p.State, "everywhere")
	} else {
		noteChart.Fire(&p.State, "limit")
	}
	p.Duration = time.Since(began)
	return p, nil
}

// append puts a note into the log. A lost answer is settled by reading.
func (n *notes) append(ctx context.Context, p *Published, b []byte) error {
	_, err := n.d.log.Append(ctx, StreamRelease, b)
	switch {
	case err == nil:
		noteChart.Fire(&p.State, "appended")
		return nil
	case outcome.From(err).Outcome == outcome.NotRun:
		noteChart.Fire(&p.State, "refused")
		return n.d.metrics.refuse("note", err)
	}
	n.d.metrics.retry("log-append", err)
	noteChart.Fire(&p.State, "lost")
	return nil
}

// verdict waits until the note with the given id was folded.
func (n *notes) verdict(ctx context.Context, id string) (config.Verdict, error) {
	for {
		w := n.waiting()
		if v, ok := n.snapshot().Verdict(id); ok {
			return v, nil
		}
		select {
		case <-w:
		case <-ctx.Done():
			return config.Verdict{}, outcome.Lost(outcome.ReasonLogDown, "note "+id+" was not read back", ctx.Err())
		}
	}
}

// everywhere waits until all live hosts have a revision in force.
func (n *notes) everywhere(ctx context.Context, r int64, p *Published) bool {
	done := make(map[string]bool)
	for {
		p.Behind, p.Hosts = nil, 0
		for _, m := range n.d.members.live() {
			p.Hosts++
			if !done[m.ID] && !n.reached(ctx, m.ID, r) {
				p.Behind = append(p.Behind, m.ID)
				continue
			}
			done[m.ID] = true
		}
		p.InForce = p.Hosts - len(p.Behind)
		if len(p.Behind) == 0 {
			return true
		}
		if pierbackoff.For(ctx, revisionPoll); ctx.Err() != nil {
			return false
		}
	}
}

// reached asks one host whether it has a revision in force.
func (n *notes) reached(ctx context.Context, id string, r int64) bool {
	if id == n.d.id {
		return n.snapshot().Revision() >= r
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var a entryhost.RevisionAnswer
	if err := n.d.call(ctx, id, entryhost.Revision, struct{}{}, &a); err != nil {
		n.d.metrics.retry("note-revision", err)
		return false
	}
	return a.Revision >= r
}
