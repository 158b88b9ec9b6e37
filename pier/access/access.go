// Package access holds the organisations of the configuration in force and finds the one that an
// API key belongs to.
package access

import (
	"crypto/sha256"

	"mulberrypier.example/pier/outcome"
)

// Organisation is a customer of the deployment, whose callers present its API keys.
type Organisation struct {
	Name string
	// Priority is the priority of the organisation's requests if HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
}

// Entry is an organisation and its keys.
type Entry struct {
	Organisation

	Keys []string
}

// Config configures an Index.
type Config struct{ Organisations []Entry }

// digest is the SHA-256 digest of a key. Keys are found by their digests, so that the time of a lookup
// tells nothing about the keys.
type digest [sha256.Size]byte

// Index finds organisations by key and by name. It is immutable.
type Index struct {
	byKey  map[digest]*Organisation
	byName map[string]*Organisation
}

// New returns an index. It fails with an *outcome.Error if an organisation has no name or the name of
// another, or if two organisations have the same key. The error names no key.
func New(c Config) (*Index, error) {
	x := &Index{byKey: make(map[digest]*Organisation), byName: make(map[string]*Organisation)}
	for i := range c.Organisations {
		e := &c.Organisations[i]
		if e.Name == "" || x.byName[e.Name] != nil {
			return nil, outcome.Refuse(outcome.ReasonBadRequest, "organisation without a name of its own: "+e.Name)
		}
		o := e.Organisation
		x.byName[o.Name] = &o
		for _, k := range e.Keys {
			d := digest(sha256.Sum256([]byte(k)))
			if other := x.byKey[d]; k == "" || other != nil && other != &o {
				return nil, outcome.Refuse(outcome.ReasonBadRequest, "empty key, or key of another organisation: "+o.Name)
			}
			x.byKey[d] = &o
		}
	}
	return x, nil
}

// Lookup returns the organisation that a key belongs to.
func (x *Index) Lookup(key string) (*Organisation, bool) {
	o, ok := x.byKey[sha256.Sum256([]byte(key))]
	return o, ok
}

// Organisation returns the organisation of a name.
func (x *Index) Organisation(name string) (*Organisation, bool) {
	o, ok := x.byName[name]
	return o, ok
}
