// Package ring assigns roles to hosts by rendezvous hashing.
//
// Every host computes the same holder of a role from the same list of members, so
// no election is needed. Hosts with different lists may each conclude that they
// hold the same role; callers of this package must tolerate that.
package ring

import "github.com/cespare/xxhash/v2"

// Candidate is a host that may hold a role.
type Candidate struct {
	// ID is unique among the candidates.
	ID string
	// Region is compared with the preferred region of a key; it may be empty.
	Region string
}

// Score returns the rendezvous weight of a key on a host; the host with the highest
// weight holds the key.
func Score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return mix(d.Sum64())
}

// Holder returns the id of the host that holds key: the highest score among the
// candidates of the preferred region, or among all candidates if that region has
// none. Equal scores go to the lower id. It returns false if there is no candidate.
func Holder(key, region string, c []Candidate) (string, bool) {
	var (
		best  string
		score uint64
		local bool
		found bool
	)
	for _, x := range c {
		l := region != "" && x.Region == region
		if found && local && !l {
			continue
		}
		s := Score(key, x.ID)
		better := !found || (l && !local) || s > score || (s == score && x.ID < best)
		if better {
			best, score, local, found = x.ID, s, l, true
		}
	}
	return best, found
}

// mix is the 64-bit finalizer of MurmurHash3. It is needed because the hashes of
// similar strings differ little in their high bits, which decide the comparison of
// scores.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
