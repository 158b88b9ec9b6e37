// Package ring chooses the holder of a role by rendezvous hashing.
//
// Every host computes the same holder from the same list of members, so a role
// needs no election. Two hosts with different lists may both think that they
// hold a role: the callers of this package must stay right when that happens.
package ring

import "github.com/cespare/xxhash/v2"

// Candidate is a host that may hold a role.
type Candidate struct {
	// ID is unique among the candidates.
	ID string
	// Region is compared with the preferred region of the key; it may be empty.
	Region string
}

// Score returns the weight of the pair of key and host; the highest one wins.
func Score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return mix(d.Sum64())
}

// Holder returns the id of the host that holds key: the highest score among the
// candidates of the preferred region, or among all when that region has none.
// It returns false when there is no candidate.
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

// mix spreads the bits of h, as the hash of two near strings differs little in
// its high bits.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
