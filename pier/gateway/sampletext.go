package gateway

import (
	"slices"

	"mulberrypier.example/pier/bytebudget"
	"mulberrypier.example/pier/outcome"
)

const (
	// maxTextVersions bounds the versions that generated one text: a version is named each few
	// seconds at most. They fit into recordReserve.
	maxTextVersions = 128
	// minTextBytes is the room for the first events of a text.
	minTextBytes = 512
	// versionBytes is the memory of a version in a list that grows by copies.
	versionBytes = 16
)

// sampleText is what was generated of the text of a sample. Its memory is taken from the host's as it
// grows, and given back by drop.
type sampleText struct {
	memory *bytebudget.Share
	// limit bounds the length of the text.
	limit int
	// data holds the data of the events, joined by line feeds. begun is set once there is an event,
	// whose data may be empty.
	data  []byte
	begun bool
	// versions holds the versions that generated events, each once, in the order of their first ones.
	versions []int64
	// taken is the memory that was taken for data and versions.
	taken int64
	// whole is set if taken covers all that a text within its bounds may need.
	whole bool
}

func newSampleText(m *bytebudget.Share, limit int) sampleText {
	return sampleText{memory: m, limit: limit}
}

// add adds the data of the next event, which a version generated. If it fails, it changes nothing: with
// answer-too-large if the text has reached a bound, with memory if the host has no room for it.
func (t *sampleText) add(data string, version int64) error {
	n := len(data)
	if t.begun {
		n++
	}
	isNew := !slices.Contains(t.versions, version)
	switch {
	case len(t.data)+n > t.limit:
		return outcome.Ambiguous(outcome.ReasonAnswerTooLarge, "text", nil)
	case isNew && len(t.versions) == maxTextVersions:
		return outcome.Ambiguous(outcome.ReasonAnswerTooLarge, "versions of a text", nil)
	case !t.grow(n), isNew && !t.takeVersion():
		return outcome.Ambiguous(outcome.ReasonMemory, "text", nil)
	}
	if t.begun {
		t.data = append(t.data, '\n')
	}
	t.data = append(t.data, data...)
	t.begun = true
	if isNew {
		t.versions = append(t.versions, version)
	}
	return nil
}

// grow makes room for n bytes. Old and new room are taken together, as both are in use while the bytes
// are copied.
func (t *sampleText) grow(n int) bool {
	old := cap(t.data)
	if len(t.data)+n <= old {
		return true
	}
	size := min(max(len(t.data)+n, 2*old, minTextBytes), t.limit)
	if !t.take(int64(size)) {
		return false
	}
	b := make([]byte, len(t.data), size)
	copy(b, t.data)
	t.data = b
	t.give(int64(old))
	return true
}

// restore replaces the text by one that was saved. It returns false, and leaves no text, if that passes
// a bound or the host has no room for it.
func (t *sampleText) restore(data string, versions []int64) bool {
	t.drop()
	for _, v := range versions {
		if slices.Contains(t.versions, v) {
			continue
		}
		if len(t.versions) == maxTextVersions || !t.takeVersion() {
			t.drop()
			return false
		}
		t.versions = append(t.versions, v)
	}
	if len(data) > t.limit || !t.grow(len(data)) {
		t.drop()
		return false
	}
	t.data = append(t.data, data...)
	t.begun = true
	return true
}

// makeWhole takes the memory for all that the text may become, so that none is asked for as it grows. The
// text must be empty.
func (t *sampleText) makeWhole() bool {
	if t.whole {
		return true
	}
	t.drop()
	if !t.take(int64(t.limit + maxTextVersions*versionBytes)) {
		return false
	}
	t.data = make([]byte, 0, t.limit)
	t.whole = true
	return true
}

// drop discards the text and gives its memory back.
func (t *sampleText) drop() {
	t.memory.Give(t.taken)
	*t = newSampleText(t.memory, t.limit)
}

// hasOther reports whether another version than v generated a part of the text.
func (t *sampleText) hasOther(v int64) bool {
	return slices.ContainsFunc(t.versions, func(o int64) bool { return o != v })
}

// String implements fmt.Stringer.
func (t *sampleText) String() string { return string(t.data) }

func (t *sampleText) takeVersion() bool { return t.whole || t.take(versionBytes) }

func (t *sampleText) take(n int64) bool {
	if !t.memory.Take(n) {
		return false
	}
	t.taken += n
	return true
}

func (t *sampleText) give(n int64) {
	t.memory.Give(n)
	t.taken -= n
}
