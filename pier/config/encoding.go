package config

import (
	"github.com/benbjohnson/immutable"
	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/boundedmsgpack"
	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

// entryRevision is the encoded form of one element of Snapshot.entryRevisions.
type entryRevision struct {
	Key      string `msgpack:"k"`
	Revision int64  `msgpack:"r"`
}

// encodedSnapshot is the encoded form of a Snapshot.
type encodedSnapshot struct {
	Next      int64           `msgpack:"n"`
	Revision  int64           `msgpack:"r"`
	Entries   release.Entries `msgpack:"e"`
	Touched   []entryRevision `msgpack:"t"`
	Decisions []Decision      `msgpack:"v"`
}

// Encode encodes the snapshot as msgpack.
func (s *Snapshot) Encode() []byte {
	m := encodedSnapshot{Next: s.next, Revision: s.revision}
	s.EachDeployment(func(x release.Deployment) { m.Entries.Deployments = append(m.Entries.Deployments, x) })
	s.EachService(func(x release.Service) { m.Entries.Services = append(m.Entries.Services, x) })
	s.EachServer(func(x release.Server) { m.Entries.Servers = append(m.Entries.Servers, x) })
	s.EachTrainer(func(x release.Trainer) { m.Entries.Trainers = append(m.Entries.Trainers, x) })
	i := s.entryRevisions.Iterator()
	for !i.Done() {
		k, r, _ := i.Next()
		m.Touched = append(m.Touched, entryRevision{k, r})
	}
	m.Decisions = s.History(maxDecisions)
	b, err := msgpack.Marshal(&m)
	bug.Assert(err == nil, bug.Codec, "snapshot: cannot encode: %v", err)
	return b
}

// Decode decodes a snapshot that was encoded by Encode. Errors are *outcome.Error.
func Decode(b []byte) (*Snapshot, error) {
	var m encodedSnapshot
	if err := boundedmsgpack.Unmarshal(b, &m); err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "snapshot: "+err.Error())
	}
	if m.Next < 0 || m.Revision < 0 || m.Revision > m.Next {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "snapshot: revision is not before the next offset")
	}
	s := New()
	s.applyEntries(&release.Note{Added: m.Entries}, m.Revision)
	s.entryRevisions = immutable.NewSortedMap[string, int64](nil)
	for _, t := range m.Touched {
		s.entryRevisions = s.entryRevisions.Set(t.Key, t.Revision)
	}
	for _, v := range m.Decisions {
		s.recordDecision(v)
	}
	s.next, s.revision = m.Next, m.Revision
	return s, nil
}
