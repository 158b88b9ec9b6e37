// Package config folds release notes into the current configuration.
//
// A Snapshot is immutable: Apply returns a new one that shares all unchanged
// entries with the old one. Readers can keep the snapshot that they hold, and the
// cost of a change does not depend on the number of servers. Whether a note is
// accepted depends only on the records before it in the log, so every host that
// reads the log accepts the same notes.
package config

import (
	"github.com/benbjohnson/immutable"

	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

const (
	// maxDecisions is how many decisions on notes are kept. A record that repeats
	// one of these notes, as after a retried append, has no effect.
	maxDecisions = 4096
	// maxBaseAge is how many revisions the base of a note may be behind the current
	// one; older notes are rejected. This bounds how long the revision of a
	// withdrawn entry is needed to detect conflicts.
	maxBaseAge = 100000
)

type (
	deployments = immutable.SortedMap[string, release.Deployment]
	services    = immutable.SortedMap[string, release.Service]
	servers     = immutable.SortedMap[string, release.Server]
	trainers    = immutable.SortedMap[string, release.Trainer]
)

// Decision states whether one note was accepted or rejected.
type Decision struct {
	// ID is the id of the note.
	ID string `msgpack:"i" json:"id"`
	// Revision is the revision of the note itself; it is also set for rejected
	// notes.
	Revision int64 `msgpack:"r" json:"revision"`
	// Err is the reason for a rejection; it is nil for an accepted note.
	Err *outcome.Error `msgpack:"e" json:"error,omitempty"`
	// Duplicate reports that an earlier record already carried a note with this id.
	Duplicate bool `msgpack:"p" json:"repeated,omitempty"`
}

// Snapshot is the configuration at one offset of the release stream.
type Snapshot struct {
	// next is the offset of the first record that is not yet folded in; it never
	// decreases from a snapshot to its successor.
	next int64
	// revision is 1 + the offset of the newest accepted note; 0 means that there is
	// none.
	revision int64

	deployments *deployments
	services    *services
	servers     *servers
	trainers    *trainers
	// pools maps the key of a deployment or service, such as "deployment/x", to the names of
	// its servers.
	pools *immutable.Map[string, *immutable.SortedMap[string, struct{}]]
	// entryRevisions maps the key of each entry that ever existed to the revision
	// of the note that last added, changed or withdrew it.
	entryRevisions *immutable.SortedMap[string, int64]
	// decisions holds the newest maxDecisions decisions by note id.
	decisions *immutable.Map[string, Decision]
	// decisionOrder lists the note ids of decisions, oldest first.
	decisionOrder *immutable.List[string]
}

// New returns the empty configuration, before the first record.
func New() *Snapshot {
	return &Snapshot{
		deployments:    immutable.NewSortedMap[string, release.Deployment](nil),
		services:       immutable.NewSortedMap[string, release.Service](nil),
		servers:        immutable.NewSortedMap[string, release.Server](nil),
		trainers:       immutable.NewSortedMap[string, release.Trainer](nil),
		pools:          immutable.NewMap[string, *immutable.SortedMap[string, struct{}]](nil),
		entryRevisions: immutable.NewSortedMap[string, int64](nil),
		decisions:      immutable.NewMap[string, Decision](nil),
		decisionOrder:  immutable.NewList[string](),
	}
}

// Next returns the offset of the first record that is not yet folded in.
func (s *Snapshot) Next() int64 { return s.next }

// Revision returns the current revision; 0 means that no note was accepted yet.
func (s *Snapshot) Revision() int64 { return s.revision }

// Deployment returns the deployment with the given name.
func (s *Snapshot) Deployment(n string) (release.Deployment, bool) { return s.deployments.Get(n) }

// Service returns the service with the given name.
func (s *Snapshot) Service(n string) (release.Service, bool) { return s.services.Get(n) }

// Server returns the backend server with the given name.
func (s *Snapshot) Server(n string) (release.Server, bool) { return s.servers.Get(n) }

// Trainer returns the trainer with the given name.
func (s *Snapshot) Trainer(n string) (release.Trainer, bool) { return s.trainers.Get(n) }

// Len returns the number of deployments, services, backend servers and trainers.
func (s *Snapshot) Len() (d, v, b, t int) {
	return s.deployments.Len(), s.services.Len(), s.servers.Len(), s.trainers.Len()
}

// EachServer calls f for each backend server, sorted by name.
func (s *Snapshot) EachServer(f func(release.Server)) { each(s.servers, f) }

// EachTrainer calls f for each trainer, sorted by name.
func (s *Snapshot) EachTrainer(f func(release.Trainer)) { each(s.trainers, f) }

// EachDeployment calls f for each deployment, sorted by name.
func (s *Snapshot) EachDeployment(f func(release.Deployment)) { each(s.deployments, f) }

// EachService calls f for each service, sorted by name.
func (s *Snapshot) EachService(f func(release.Service)) { each(s.services, f) }

// Decision returns the decision on the note with the given id, if it is still kept.
func (s *Snapshot) Decision(id string) (Decision, bool) { return s.decisions.Get(id) }

// History returns the newest n decisions, oldest first.
func (s *Snapshot) History(n int) []Decision {
	l := s.decisionOrder.Len()
	var r []Decision
	for i := max(0, l-n); i < l; i++ {
		if v, ok := s.decisions.Get(s.decisionOrder.Get(i)); ok {
			r = append(r, v)
		}
	}
	return r
}

// Apply folds in the record at the given offset and returns the new snapshot and
// the decision on the note. A record before Next has no effect: Apply returns s
// itself and the decision that was kept, if any.
func (s *Snapshot) Apply(offset int64, n *release.Note) (*Snapshot, Decision) {
	if v, ok := s.decisions.Get(n.ID); ok || offset < s.next {
		v.ID = n.ID
		v.Duplicate = true
		if offset < s.next {
			return s, v
		}
		c := *s
		c.next = offset + 1
		return &c, v
	}
	c := *s
	c.next = offset + 1
	v := Decision{ID: n.ID, Revision: offset + 1}
	if err := s.check(n); err != nil {
		v.Err = outcome.AsError(err)
	} else {
		c.applyEntries(n, offset+1)
		c.revision = offset + 1
	}
	c.recordDecision(v)
	bug.Assert(c.revision >= s.revision, bug.MonotoneRevision, "revision %d after %d", c.revision, s.revision)
	return &c, v
}

// Skip returns a snapshot that counts the record at offset as folded in. It is used
// for records that cannot be decoded; all hosts skip the same records.
func (s *Snapshot) Skip(offset int64) *Snapshot {
	if offset < s.next {
		return s
	}
	c := *s
	c.next = offset + 1
	return &c
}

// applyEntries applies the entries of an accepted note to s, which must not be
// shared with readers yet.
func (s *Snapshot) applyEntries(n *release.Note, r int64) {
	for _, k := range n.Withdrawn {
		s.remove(k)
	}
	for _, e := range []*release.Entries{&n.Added, &n.Changed} {
		for _, x := range e.Deployments {
			s.deployments = s.deployments.Set(x.Name, x)
		}
		for _, x := range e.Services {
			s.services = s.services.Set(x.Name, x)
		}
		for _, x := range e.Servers {
			s.removeFromPool(x.Name)
			s.servers = s.servers.Set(x.Name, x)
			s.addToPool(x)
		}
		for _, x := range e.Trainers {
			s.trainers = s.trainers.Set(x.Name, x)
		}
	}
	for _, k := range n.Keys() {
		s.entryRevisions = s.entryRevisions.Set(k.String(), r)
	}
}

func (s *Snapshot) remove(k release.Key) {
	switch k.Kind {
	case release.KindDeployment:
		s.deployments = s.deployments.Delete(k.Name)
	case release.KindService:
		s.services = s.services.Delete(k.Name)
	case release.KindServer:
		s.removeFromPool(k.Name)
		s.servers = s.servers.Delete(k.Name)
	case release.KindTrainer:
		s.trainers = s.trainers.Delete(k.Name)
	}
}

// recordDecision keeps the decision v and drops the oldest one beyond maxDecisions. Like
// applyEntries, it changes s.
func (s *Snapshot) recordDecision(v Decision) {
	s.decisions = s.decisions.Set(v.ID, v)
	s.decisionOrder = s.decisionOrder.Append(v.ID)
	if s.decisionOrder.Len() > maxDecisions {
		s.decisions = s.decisions.Delete(s.decisionOrder.Get(0))
		s.decisionOrder = s.decisionOrder.Slice(1, s.decisionOrder.Len())
	}
}

func each[V any](m *immutable.SortedMap[string, V], f func(V)) {
	i := m.Iterator()
	for !i.Done() {
		_, v, _ := i.Next()
		f(v)
	}
}
