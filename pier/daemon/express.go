package daemon

import (
	"cmp"
	"slices"

	"mulberrypier.example/pier/config"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/ring"
)

// expressServers returns the express servers of all deployments, each with the
// number of rollouts that it may run at once. The choice is by hash, so that all
// hosts make the same one.
func expressServers(s *config.Snapshot) map[string]int {
	m := make(map[string]int)
	s.EachDeployment(func(d release.Deployment) {
		if d.ExpressServers == 0 {
			return
		}
		var l []string
		s.EachServerIn(release.Key{Kind: release.KindDeployment, Name: d.Name}, func(v release.Server) {
			if !v.Leaving {
				l = append(l, v.Name)
			}
		})
		slices.SortFunc(l, func(a, b string) int {
			return cmp.Or(cmp.Compare(ring.Score(d.Name, b), ring.Score(d.Name, a)), cmp.Compare(a, b))
		})
		for _, n := range l[:min(len(l), d.ExpressServers)] {
			m[n] = max(1, d.ExpressBatch)
		}
	})
	return m
}
