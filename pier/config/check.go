package config

import (
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

// check returns the reason to reject a note, or nil.
func (s *Snapshot) check(n *release.Note) error {
	if err := n.Check(); err != nil {
		return err
	}
	if n.Base < s.revision-maxBaseAge || n.Base > s.revision {
		return outcome.Refuse(outcome.ReasonStaleBase, "base is outside the revisions kept")
	}
	for _, k := range n.Keys() {
		if r, ok := s.entryRevisions.Get(k.String()); ok && r > n.Base {
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
	return s.checkReferences(n)
}

// checkReferences checks that all entries that the note refers to exist once it is
// applied.
func (s *Snapshot) checkReferences(n *release.Note) error {
	existsAfter := make(map[release.Key]bool, n.Added.Len()+len(n.Withdrawn))
	for _, k := range n.Added.Keys() {
		existsAfter[k] = true
	}
	for _, k := range n.Withdrawn {
		existsAfter[k] = false
		if err := s.checkWithdrawal(n, k); err != nil {
			return err
		}
	}
	mustExist := func(from string, k release.Key) error {
		ok, listed := existsAfter[k]
		if ok || !listed && s.has(k) {
			return nil
		}
		return outcome.Refuse(outcome.ReasonUnknownName, from+": "+k.String()+" does not exist")
	}
	for _, e := range []*release.Entries{&n.Added, &n.Changed} {
		for i := range e.Servers {
			if err := mustExist("server/"+e.Servers[i].Name, PoolOf(&e.Servers[i])); err != nil {
				return err
			}
		}
		for i := range e.Trainers {
			k := release.Key{Kind: release.KindDeployment, Name: e.Trainers[i].Deployment}
			if err := mustExist("trainer/"+e.Trainers[i].Name, k); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkWithdrawal rejects the withdrawal of a deployment or service to which a
// server or trainer still refers, unless the note withdraws or changes that server
// or trainer. The references of changed entries are checked by checkReferences.
func (s *Snapshot) checkWithdrawal(n *release.Note, k release.Key) error {
	// exempt holds the entries that the note withdraws or changes.
	exempt := make(map[release.Key]bool)
	for _, w := range n.Withdrawn {
		exempt[w] = true
	}
	for i := range n.Changed.Servers {
		exempt[release.Key{Kind: release.KindServer, Name: n.Changed.Servers[i].Name}] = true
	}
	for i := range n.Changed.Trainers {
		exempt[release.Key{Kind: release.KindTrainer, Name: n.Changed.Trainers[i].Name}] = true
	}
	var err error
	s.EachServerIn(k, func(v release.Server) {
		if !exempt[release.Key{Kind: release.KindServer, Name: v.Name}] {
			err = outcome.Refuse(outcome.ReasonConflict, k.String()+": server/"+v.Name+" still uses it")
		}
	})
	if k.Kind != release.KindDeployment {
		return err
	}
	s.EachTrainer(func(t release.Trainer) {
		if t.Deployment == k.Name && !exempt[release.Key{Kind: release.KindTrainer, Name: t.Name}] {
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
