package ring

import "slices"

// holder is the holder of one key, as Holder would return it.
type holder struct {
	region string
	id     string
	score  uint64
	local  bool
}

// Assignment remembers the holders of many keys. When a candidate goes, only the
// keys that it held are hashed anew; when one comes, each key is hashed once. Not
// safe for concurrent use.
type Assignment struct {
	c []Candidate
	m map[string]holder
}

// NewAssignment returns an assignment without candidates.
func NewAssignment() *Assignment { return &Assignment{m: make(map[string]holder)} }

// Len returns the number of keys that are remembered.
func (a *Assignment) Len() int { return len(a.m) }

// Forget drops all keys.
func (a *Assignment) Forget() { clear(a.m) }

// SetCandidates states the candidates in force, in any order.
func (a *Assignment) SetCandidates(c []Candidate) {
	old := make(map[string]Candidate, len(a.c))
	for _, x := range a.c {
		old[x.ID] = x
	}
	var added []Candidate
	for _, x := range c {
		if o, ok := old[x.ID]; ok && o == x {
			delete(old, x.ID)
			continue
		}
		added = append(added, x)
	}
	a.c = slices.Clone(c)
	if len(old) == 0 && len(added) == 0 {
		return
	}
	for k, h := range a.m {
		if _, gone := old[h.id]; gone {
			delete(a.m, k)
			continue
		}
		for _, x := range added {
			h = h.against(k, x)
		}
		a.m[k] = h
	}
}

// against returns the better one of a holder and a candidate.
func (h holder) against(key string, x Candidate) holder {
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

// Holder returns the same as the function Holder for the candidates in force.
func (a *Assignment) Holder(key, region string) (string, bool) {
	h, ok := a.m[key]
	if !ok || h.region != region {
		h = holder{region: region}
		for _, x := range a.c {
			h = h.against(key, x)
		}
		if h.id == "" {
			return "", false
		}
		a.m[key] = h
	}
	return h.id, true
}
