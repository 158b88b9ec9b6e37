package ring

import "slices"

// holder is the cached holder of one key; an empty id means that there is none yet.
type holder struct {
	// region is the preferred region of the key.
	region string
	id     string
	// score is the Score of the key and id.
	score uint64
	// local reports whether the holder is in the preferred region.
	local bool
}

// Assignment caches the holders of many keys. When a candidate leaves, only the
// keys that it held are hashed again; when one joins, each key is hashed once. Not
// safe for concurrent use.
type Assignment struct {
	candidates []Candidate
	// holders maps each key to its cached holder.
	holders map[string]holder
}

// NewAssignment returns an Assignment without candidates.
func NewAssignment() *Assignment { return &Assignment{holders: make(map[string]holder)} }

// Len returns the number of cached keys.
func (a *Assignment) Len() int { return len(a.holders) }

// Forget removes all cached keys; the candidates stay.
func (a *Assignment) Forget() { clear(a.holders) }

// SetCandidates replaces the set of candidates, given in any order.
func (a *Assignment) SetCandidates(candidates []Candidate) {
	old := make(map[string]Candidate, len(a.candidates))
	for _, x := range a.candidates {
		old[x.ID] = x
	}
	var added []Candidate
	for _, x := range candidates {
		if o, ok := old[x.ID]; ok && o == x {
			delete(old, x.ID)
			continue
		}
		added = append(added, x)
	}
	a.candidates = slices.Clone(candidates)
	if len(old) == 0 && len(added) == 0 {
		return
	}
	for k, h := range a.holders {
		if _, removed := old[h.id]; removed {
			delete(a.holders, k)
			continue
		}
		for _, x := range added {
			h = h.better(k, x)
		}
		a.holders[k] = h
	}
}

// better returns the better one of h and x as holder of key: a candidate of the
// preferred region ranks above all others, then the higher score wins, then the
// lower id.
func (h holder) better(key string, x Candidate) holder {
	l := h.region != "" && x.Region == h.region
	if h.id != "" && h.local && !l {
		return h
	}
	s := Score(key, x.ID)
	if h.id == "" || l && !h.local || s > h.score || s == h.score && x.ID < h.id {
		return holder{h.region, x.ID, s, l}
	}
	return h
}

// Holder returns what the function Holder returns for the current candidates.
func (a *Assignment) Holder(key, region string) (string, bool) {
	h, ok := a.holders[key]
	if !ok || h.region != region {
		h = holder{region: region}
		for _, x := range a.candidates {
			h = h.better(key, x)
		}
		if h.id == "" {
			return "", false
		}
		a.holders[key] = h
	}
	return h.id, true
}
