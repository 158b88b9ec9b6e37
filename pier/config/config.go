// Package config folds release notes into the configuration in force.
//
// A Snapshot is immutable: Apply makes a new one that shares all untouched
// entries with the old one, so readers keep theirs and a change costs the same
// however many servers there are. Whether a note is accepted depends only on the
// records before it, so every host that reads the log accepts the same notes.
package config

import (
	"github.com/benbjohnson/immutable"
	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

const (
	// idsKept is how many accepted or rejected note ids are remembered to make
	// repeated records have no effect.
	idsKept = 4096
	// touchedKept is how many revisions a withdrawn entry's revision is kept; a
	// note with an older base is refused.
	touchedKept = 100000
)

type (
	deployments = immutable.SortedMap[string, release.Deployment]
	services    = immutable.SortedMap[string, release.Service]
	servers     = immutable.SortedMap[string, release.Server]
	trainers    = immutable.SortedMap[string, release.Trainer]
)

// Verdict is what the fold decided on one note.
type Verdict struct {
	// ID is the note's id.
	ID string `msgpack:"i" json:"id"`
	// Revision is the note's own revision; it is set for rejected notes too.
	Revision int64 `msgpack:"r" json:"revision"`
	// Err is nil for an accepted note.
	Err *outcome.Error `msgpack:"e" json:"error,omitempty"`
	// Repeated tells that a record with this id was folded before.
	Repeated bool `msgpack:"p" json:"repeated,omitempty"`
}

// Snapshot is the configuration at one offset of the release stream.
type Snapshot struct {
	// next is the offset of the first record that is not folded in; it never
	// goes back from a snapshot to its successor.
	next int64
	// revision is 1 + the offset of the newest accepted note; 0 means no note.
	revision int64

	deployments *deployments
	services    *services
	servers     *servers
	trainers    *trainers
	// pools maps "deployment/x" or "service/x" to the names of its servers.
	pools *immutable.Map[string, *immutable.SortedMap[string, struct{}]]
	// touched maps each entry that ever existed to the revision that touched it.
	touched *immutable.SortedMap[string, int64]
	// verdicts holds the newest idsKept verdicts by note id.
	verdicts *immutable.Map[string, Verdict]
	order    *immutable.List[string]
}

// New returns the empty configuration before the first record.
func New() *Snapshot {
	return &Snapshot{
		deployments: immutable.NewSortedMap[string, release.Deployment](nil),
		services:    immutable.NewSortedMap[string, release.Service](nil),
		servers:     immutable.NewSortedMap[string, release.Server](nil),
		trainers:    immutable.NewSortedMap[string, release.Trainer](nil),
		pools:       immutable.NewMap[string, *immutable.SortedMap[string, struct{}]](nil),
		touched:     immutable.NewSortedMap[string, int64](nil),
		verdicts:    immutable.NewMap[string, Verdict](nil),
		order:       immutable.NewList[string](),
	}
}

// Next returns the offset of the first record that is not folded in.
func (s *Snapshot) Next() int64 { return s.next }

// Revision returns the revision in force; 0 means that no note was accepted.
func (s *Snapshot) Revision() int64 { return s.revision }

// Deployment returns the deployment with the given name.
func (s *Snapshot) Deployment(n string) (release.Deployment, bool) { return s.deployments.Get(n) }

// Service returns the service with the given name.
func (s *Snapshot) Service(n string) (release.Service, bool) { return s.services.Get(n) }

// Server returns the backend server with the given name.
func (s *Snapshot) Server(n string) (release.Server, bool) { return s.servers.Get(n) }

// Trainer returns the trainer with the given name.
func (s *Snapshot) Trainer(n string) (release.Trainer, bool) { return s.trainers.Get(n) }

// Len returns the number of deployments, services, servers and trainers.
func (s *Snapshot) Len() (d, v, b, t int) {
	return s.deployments.Len(), s.services.Len(), s.servers.Len(), s.trainers.Len()
}

// EachServer calls f for each backend server in the order of names.
func (s *Snapshot) EachServer(f func(release.Server)) { each(s.servers, f) }

// EachTrainer calls f for each trainer in the order of names.
func (s *Snapshot) EachTrainer(f func(release.Trainer)) { each(s.trainers, f) }

// EachDeployment calls f for each deployment in the order of names.
func (s *Snapshot) EachDeployment(f func(release.Deployment)) { each(s.deployments, f) }

// EachService calls f for each service in the order of names.
func (s *Snapshot) EachService(f func(release.Service)) { each(s.services, f) }

// EachOf calls f for each server of the deployment or service that k names.
func (s *Snapshot) EachOf(k release.Key, f func(release.Server)) {
	p, ok := s.pools.Get(k.String())
	if !ok {
		return
	}
	i := p.Iterator()
	for !i.Done() {
		n, _, _ := i.Next()
		v, ok := s.servers.Get(n)
		if ok {
			f(v)
		}
	}
}

// Verdict returns what was decided on the note with the given id, if it is still
// remembered.
func (s *Snapshot) Verdict(id string) (Verdict, bool) { return s.verdicts.Get(id) }

// History returns the newest n verdicts, the oldest first.
func (s *Snapshot) History(n int) []Verdict {
	l := s.order.Len()
	var r []Verdict
	for i := max(0, l-n); i < l; i++ {
		if v, ok := s.verdicts.Get(s.order.Get(i)); ok {
			r = append(r, v)
		}
	}
	return r
}

// Apply folds in the record at the given offset and returns the new snapshot
// with the verdict on its note. A record before Next has no effect: it returns s
// itself and the remembered verdict.
func (s *Snapshot) Apply(offset int64, n *release.Note) (*Snapshot, Verdict) {
	if v, ok := s.verdicts.Get(n.ID); ok || offset < s.next {
		v.ID = n.ID
		v.Repeated = true
		if offset < s.next {
			return s, v
		}
		c := *s
		c.next = offset + 1
		return &c, v
	}
	c := *s
	c.next = offset + 1
	v := Verdict{ID: n.ID, Revision: offset + 1}
	if err := s.judge(n); err != nil {
		v.Err = outcome.From(err)
	} else {
		c.put(n, offset+1)
		c.revision = offset + 1
	}
	c.remember(v)
	bug.Assert(c.revision >= s.revision, bug.MonotoneRevision, "%d after %d", c.revision, s.revision)
	return &c, v
}

// Skip returns a snapshot that treats the record at offset as read, for records
// that cannot be decoded: all hosts skip the same ones.
func (s *Snapshot) Skip(offset int64) *Snapshot {
	if offset < s.next {
		return s
	}
	c := *s
	c.next = offset + 1
	return &c
}

// judge returns why a note is not accepted, or nil.
func (s *Snapshot) judge(n *release.Note) error {
	if err := n.Check(); err != nil {
		return err
	}
	if n.Base < s.revision-touchedKept || n.Base > s.revision {
		return outcome.Refuse(outcome.ReasonStaleBase, "base is outside the revisions kept")
	}
	for _, k := range n.Keys() {
		if r, ok := s.touched.Get(k.String()); ok && r > n.Base {
			return outcome.Refuse(outcome.ReasonConflict, k.String()+": changed after the note's base")
		}
	}
	for _, k := range n.Added.Keys() {
		if s.has(k) {
			return outcome.Refuse(outcome.ReasonConflict, k.String()+": exists already")
		}
	}
	for _, k := range append(n.Changed.Keys(), n.Withdrawn...) {
		if !s.has(k) {
			return outcome.Refuse(outcome.ReasonConflict, k.String()+": does not exist")
		}
	}
	return s.judgeReferences(n)
}

// judgeReferences checks that what the note's entries refer to exists after it.
func (s *Snapshot) judgeReferences(n *release.Note) error {
	after := make(map[release.Key]bool, n.Added.Len()+len(n.Withdrawn))
	for _, k := range n.Added.Keys() {
		after[k] = true
	}
	for _, k := range n.Withdrawn {
		after[k] = false
		if err := s.judgeWithdrawn(n, k); err != nil {
			return err
		}
	}
	need := func(from string, k release.Key) error {
		ok, listed := after[k]
		if ok || !listed && s.has(k) {
			return nil
		}
		return outcome.Refuse(outcome.ReasonUnknownName, from+": "+k.String()+" does not exist")
	}
	for _, e := range []*release.Entries{&n.Added, &n.Changed} {
		for i := range e.Servers {
			if err := need("server/"+e.Servers[i].Name, PoolOf(&e.Servers[i])); err != nil {
				return err
			}
		}
		for i := range e.Trainers {
			k := release.Key{Kind: release.KindDeployment, Name: e.Trainers[i].Deployment}
			if err := need("trainer/"+e.Trainers[i].Name, k); err != nil {
				return err
			}
		}
	}
	return nil
}

// judgeWithdrawn refuses to withdraw a pool while a server that the note leaves
// in place, or a trainer, still refers to it.
func (s *Snapshot) judgeWithdrawn(n *release.Note, k release.Key) error {
	gone := make(map[release.Key]bool)
	for _, w := range n.Withdrawn {
		gone[w] = true
	}
	for i := range n.Changed.Servers {
		gone[release.Key{Kind: release.KindServer, Name: n.Changed.Servers[i].Name}] = true
	}
	for i := range n.Changed.Trainers {
		gone[release.Key{Kind: release.KindTrainer, Name: n.Changed.Trainers[i].Name}] = true
	}
	var err error
	s.EachOf(k, func(v release.Server) {
		if !gone[release.Key{Kind: release.KindServer, Name: v.Name}] {
			err = outcome.Refuse(outcome.ReasonConflict, k.String()+": server/"+v.Name+" still uses it")
		}
	})
	if k.Kind != release.KindDeployment {
		return err
	}
	s.EachTrainer(func(t release.Trainer) {
		if t.Deployment == k.Name && !gone[release.Key{Kind: release.KindTrainer, Name: t.Name}] {
			err = outcome.Refuse(outcome.ReasonConflict, k.String()+": trainer/"+t.Name+" still uses it")
		}
	})
	return err
}

func (s *Snapshot) has(k release.Key) bool {
	var ok bool
	switch k.Kind {
	case release.KindDeployment:
		_, ok = s.deployments.Get(k.Name)
	case release.KindService:
		_, ok = s.services.Get(k.Name)
	case release.KindServer:
		_, ok = s.servers.Get(k.Name)
	case release.KindTrainer:
		_, ok = s.trainers.Get(k.Name)
	}
	return ok
}

// put writes the entries of an accepted note into s, which nobody else sees yet.
func (s *Snapshot) put(n *release.Note, r int64) {
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
			s.leavePool(x.Name)
			s.servers = s.servers.Set(x.Name, x)
			s.joinPool(x)
		}
		for _, x := range e.Trainers {
			s.trainers = s.trainers.Set(x.Name, x)
		}
	}
	for _, k := range n.Keys() {
		s.touched = s.touched.Set(k.String(), r)
	}
}

func (s *Snapshot) remove(k release.Key) {
	switch k.Kind {
	case release.KindDeployment:
		s.deployments = s.deployments.Delete(k.Name)
	case release.KindService:
		s.services = s.services.Delete(k.Name)
	case release.KindServer:
		s.leavePool(k.Name)
		s.servers = s.servers.Delete(k.Name)
	case release.KindTrainer:
		s.trainers = s.trainers.Delete(k.Name)
	}
}

func (s *Snapshot) joinPool(x release.Server) {
	k := PoolOf(&x).String()
	p, ok := s.pools.Get(k)
	if !ok {
		p = immutable.NewSortedMap[string, struct{}](nil)
	}
	s.pools = s.pools.Set(k, p.Set(x.Name, struct{}{}))
}

func (s *Snapshot) leavePool(name string) {
	old, ok := s.servers.Get(name)
	if !ok {
		return
	}
	k := PoolOf(&old).String()
	if p, ok := s.pools.Get(k); ok {
		s.pools = s.pools.Set(k, p.Delete(name))
	}
}

func (s *Snapshot) remember(v Verdict) {
	s.verdicts = s.verdicts.Set(v.ID, v)
	s.order = s.order.Append(v.ID)
	if s.order.Len() > idsKept {
		s.verdicts = s.verdicts.Delete(s.order.Get(0))
		s.order = s.order.Slice(1, s.order.Len())
	}
}

// PoolOf returns the key of the deployment or service that v belongs to.
func PoolOf(v *release.Server) release.Key {
	if v.Deployment != "" {
		return release.Key{Kind: release.KindDeployment, Name: v.Deployment}
	}
	return release.Key{Kind: release.KindService, Name: v.Service}
}

func each[V any](m *immutable.SortedMap[string, V], f func(V)) {
	i := m.Iterator()
	for !i.Done() {
		_, v, _ := i.Next()
		f(v)
	}
}

// touch is the revision that touched an entry last.
type touch struct {
	Key      string `msgpack:"k"`
	Revision int64  `msgpack:"r"`
}

// image is the encoded form of a snapshot.
type image struct {
	Next     int64           `msgpack:"n"`
	Revision int64           `msgpack:"r"`
	Entries  release.Entries `msgpack:"e"`
	Touched  []touch         `msgpack:"t"`
	Verdicts []Verdict       `msgpack:"v"`
}

// Encode returns the snapshot as msgpack.
func (s *Snapshot) Encode() []byte {
	m := image{Next: s.next, Revision: s.revision}
	s.EachDeployment(func(x release.Deployment) { m.Entries.Deployments = append(m.Entries.Deployments, x) })
	s.EachService(func(x release.Service) { m.Entries.Services = append(m.Entries.Services, x) })
	s.EachServer(func(x release.Server) { m.Entries.Servers = append(m.Entries.Servers, x) })
	s.EachTrainer(func(x release.Trainer) { m.Entries.Trainers = append(m.Entries.Trainers, x) })
	i := s.touched.Iterator()
	for !i.Done() {
		k, r, _ := i.Next()
		m.Touched = append(m.Touched, touch{k, r})
	}
	m.Verdicts = s.History(idsKept)
	b, err := msgpack.Marshal(&m)
	bug.Assert(err == nil, bug.Codec, "snapshot: %v", err)
	return b
}

// Decode reads a snapshot that Encode wrote. An error is an *outcome.Error.
func Decode(b []byte) (*Snapshot, error) {
	var m image
	if err := msgpack.Unmarshal(b, &m); err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "snapshot: "+err.Error())
	}
	if m.Next < 0 || m.Revision < 0 || m.Revision > m.Next {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "snapshot: revision is not before the next offset")
	}
	s := New()
	s.put(&release.Note{Added: m.Entries}, m.Revision)
	s.touched = immutable.NewSortedMap[string, int64](nil)
	for _, t := range m.Touched {
		s.touched = s.touched.Set(t.Key, t.Revision)
	}
	for _, v := range m.Verdicts {
		s.remember(v)
	}
	s.next, s.revision = m.Next, m.Revision
	return s, nil
}
