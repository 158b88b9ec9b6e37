package config

import (
	"github.com/benbjohnson/immutable"

	"mulberrypier.example/pier/release"
)

// EachServerIn calls f for each server of the deployment or service with the key k,
// sorted by name.
func (s *Snapshot) EachServerIn(k release.Key, f func(release.Server)) {
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

// addToPool adds the server x to the pool of its deployment or service.
func (s *Snapshot) addToPool(x release.Server) {
	k := PoolOf(&x).String()
	p, ok := s.pools.Get(k)
	if !ok {
		p = immutable.NewSortedMap[string, struct{}](nil)
	}
	s.pools = s.pools.Set(k, p.Set(x.Name, struct{}{}))
}

// removeFromPool removes the server with the given name from its current pool, if it exists.
func (s *Snapshot) removeFromPool(name string) {
	old, ok := s.servers.Get(name)
	if !ok {
		return
	}
	k := PoolOf(&old).String()
	if p, ok := s.pools.Get(k); ok {
		s.pools = s.pools.Set(k, p.Delete(name))
	}
}

// PoolOf returns the key of the deployment or service to which v belongs.
func PoolOf(v *release.Server) release.Key {
	if v.Deployment != "" {
		return release.Key{Kind: release.KindDeployment, Name: v.Deployment}
	}
	return release.Key{Kind: release.KindService, Name: v.Service}
}
