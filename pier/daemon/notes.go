package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	pierbackoff "mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boundedmsgpack"
	"mulberrypier.example/pier/config"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

const (
	// StreamRelease is the name of the log stream with the release notes.
	StreamRelease = "release"
	// StreamSnapshots is the name of the log stream with the configuration
	// snapshots.
	StreamSnapshots = "release-snapshots"

	// noteReadLimit is the maximum number of records in one read.
	noteReadLimit = 512
	// noteReadWait is how long a read waits for new records.
	noteReadWait = 2 * time.Second
	// maxRecentRecords is the maximum number of records kept to serve other hosts.
	maxRecentRecords = 4096
	// snapshotInterval is the number of records after which a snapshot is appended,
	// so that the configuration survives the expiry of the records.
	snapshotInterval = 512
)

// notes holds the configuration in force. It replays the release notes, read from
// the log or fetched from other hosts, with package config.
type notes struct {
	d   *Daemon
	log *zap.Logger
	// current is the snapshot of the configuration in force; it is replaced, never
	// modified.
	current atomic.Pointer[config.Snapshot]

	mu sync.Mutex
	// recentRecords holds the newest records, contiguous and ending at the
	// snapshot's Next.
	recentRecords []entryhost.NoteRecord
	// changed is closed and replaced whenever the configuration changes.
	changed chan struct{}
	// snapshotOffset is the Next offset of the newest snapshot appended or loaded.
	snapshotOffset int64
	fetching       atomic.Bool
}

func newNotes(d *Daemon) *notes {
	n := &notes{d: d, log: d.logger("notes"), changed: make(chan struct{})}
	n.current.Store(config.New())
	return n
}

// snapshot returns the configuration in force.
func (n *notes) snapshot() *config.Snapshot { return n.current.Load() }

// run loads the newest snapshot and then follows the release stream in the log.
func (n *notes) run(ctx context.Context) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 100 * time.Millisecond
	b.MaxInterval = 2 * time.Second
	loaded := false
	for ctx.Err() == nil {
		var err error
		if !loaded {
			err = n.loadSnapshot(ctx)
			loaded = err == nil
		} else {
			err = n.read(ctx)
		}
		if err == nil {
			b.Reset()
			continue
		}
		if ctx.Err() == nil {
			n.d.metrics.retry("log-read", err)
			pierbackoff.Sleep(ctx, b.NextBackOff())
		}
	}
}

// loadSnapshot adopts the newest snapshot in the log, if there is one. A snapshot
// that cannot be decoded is ignored.
func (n *notes) loadSnapshot(ctx context.Context) error {
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
		n.log.Warn("ignoring a configuration snapshot in the log that cannot be decoded", zap.Error(err))
		return nil
	}
	n.adoptSnapshot(s)
	return nil
}

// read reads and folds the next page of the release stream.
func (n *notes) read(ctx context.Context) error {
	from := n.snapshot().Next()
	p, err := n.d.log.Read(ctx, StreamRelease, from, noteReadLimit, noteReadWait)
	if err != nil {
		return err
	}
	if p.Oldest > n.snapshot().Next() {
		n.log.Warn("release records expired before they were read; loading a snapshot",
			zap.Int64("from", from), zap.Int64("oldest", p.Oldest))
		n.d.metrics.retries.WithLabelValues("log-read", "gap").Inc()
		return n.fillGap(ctx)
	}
	for _, r := range p.Records {
		n.fold(r.Offset, r.Data)
	}
	n.appendSnapshotIfDue(ctx)
	return nil
}

// fillGap recovers from expired records with a snapshot from the log or from
// another host.
func (n *notes) fillGap(ctx context.Context) error {
	from := n.snapshot().Next()
	if err := n.loadSnapshot(ctx); err != nil {
		return err
	}
	for _, m := range n.d.members.live() {
		if n.snapshot().Next() > from {
			return nil
		}
		if m.ID != n.d.id {
			n.fetchRecords(m.ID)
		}
	}
	if n.snapshot().Next() > from {
		return nil
	}
	return outcome.Refuse(outcome.ReasonLogDown, "gap in the release stream")
}

// observeOffset processes the next offset that another host announces in its
// heartbeats. If that host is ahead, the missing records are fetched from it, so
// that notes spread while the log is unavailable.
func (n *notes) observeOffset(id string, offset int64) {
	if offset <= n.snapshot().Next() || !n.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.fetching.Store(false)
		n.fetchRecords(id)
	}()
}

// fetchRecords fetches the records that this host lacks from another host.
func (n *notes) fetchRecords(id string) {
	ctx, cancel := context.WithTimeout(n.d.ctx, 2*time.Second)
	defer cancel()
	var a entryhost.FetchNotesAnswer
	q := entryhost.FetchNotesRequest{From: n.snapshot().Next()}
	if err := n.d.call(ctx, id, entryhost.FetchNotes, &q, &a); err != nil {
		n.d.metrics.retry("note-fetch", err)
		return
	}
	if len(a.Snapshot) > 0 {
		s, err := config.Decode(a.Snapshot)
		if err != nil {
			n.d.metrics.retry("note-fetch", err)
			return
		}
		n.adoptSnapshot(s)
	}
	for _, r := range a.Records {
		n.fold(r.Offset, r.Data)
	}
}

// recordsFrom returns the records from the given offset on, or a snapshot if they
// are no longer kept.
func (n *notes) recordsFrom(from int64) *entryhost.FetchNotesAnswer {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.snapshot()
	if from >= s.Next() {
		return &entryhost.FetchNotesAnswer{}
	}
	if len(n.recentRecords) == 0 || n.recentRecords[0].Offset > from {
		return &entryhost.FetchNotesAnswer{Snapshot: s.Encode()}
	}
	i := from - n.recentRecords[0].Offset
	return &entryhost.FetchNotesAnswer{Records: append([]entryhost.NoteRecord(nil), n.recentRecords[i:]...)}
}

// adoptSnapshot makes a snapshot the current one if it is ahead.
func (n *notes) adoptSnapshot(s *config.Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s.Next() <= n.snapshot().Next() {
		return
	}
	n.recentRecords = nil
	n.snapshotOffset = max(n.snapshotOffset, s.Next())
	n.setCurrent(s)
}

// fold applies the record at the given offset if it is the next one. A record that
// cannot be decoded is skipped.
func (n *notes) fold(offset int64, data []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.snapshot()
	if offset != s.Next() {
		return
	}
	n.recentRecords = append(n.recentRecords, entryhost.NoteRecord{Offset: offset, Data: data})
	if len(n.recentRecords) > maxRecentRecords {
		n.recentRecords = append([]entryhost.NoteRecord(nil), n.recentRecords[maxRecentRecords/2:]...)
	}
	var r release.Note
	if err := boundedmsgpack.Unmarshal(data, &r); err != nil {
		n.log.Warn("skipped a release record that cannot be decoded", zap.Int64("offset", offset), zap.Error(err))
		n.setCurrent(s.Skip(offset))
		return
	}
	c, v := s.Apply(offset, &r)
	n.log.Info("release note folded", zap.String("note", r.ID),
		zap.Int64("revision", c.Revision()), zap.Bool("accepted", v.Err == nil))
	n.setCurrent(c)
}

// setCurrent makes s the current snapshot and notifies the other roles. n.mu must be
// held.
func (n *notes) setCurrent(s *config.Snapshot) {
	n.current.Store(s)
	close(n.changed)
	n.changed = make(chan struct{})
	n.d.metrics.revision.Set(float64(s.Revision()))
	go func() {
		n.d.members.setOffset(s.Next())
		n.d.owners.refresh()
	}()
}

// nextChange returns a channel that is closed at the next change of the
// configuration.
func (n *notes) nextChange() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// revisionAnswer returns the revision in force and the next offset to be folded.
func (n *notes) revisionAnswer() *entryhost.RevisionAnswer {
	s := n.snapshot()
	return &entryhost.RevisionAnswer{Revision: s.Revision(), Next: s.Next()}
}

// appendSnapshotIfDue appends a snapshot if snapshotInterval records were folded
// since the last one and this host holds the role. If two hosts both consider
// themselves the holder, they append equivalent snapshots, which is harmless.
func (n *notes) appendSnapshotIfDue(ctx context.Context) {
	s := n.snapshot()
	n.mu.Lock()
	due := s.Next()-n.snapshotOffset >= snapshotInterval
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
	n.snapshotOffset = s.Next()
	n.mu.Unlock()
	n.log.Info("configuration snapshot appended to the log", zap.Int64("next", s.Next()))
}
