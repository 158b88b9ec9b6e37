package gateway

import "mulberrypier.example/pier/stepjournal"

// itemOverheadBytes is the memory of an item of a step beside the bytes of its texts.
const itemOverheadBytes = 512

// fieldOverheadBytes is the memory of a header field of an item beside the bytes of its texts.
const fieldOverheadBytes = 64

// charge counts the memory of a step that this host has accepted or runs, and returns it. It is given
// back when the step is left. There is no way to refuse it here: the step must not be lost.
func (p *steps) charge(s *stepjournal.Step) int64 {
	n := stepBytes(s)
	p.g.memory.Charge(n)
	return n
}

// hasMemory reports whether this host has memory for a further step that another one may run as well.
func (p *steps) hasMemory(s *stepjournal.Step) bool { return p.g.memory.Left() >= stepBytes(s) }

// stepBytes returns about how much memory a decoded step takes.
func stepBytes(s *stepjournal.Step) int64 {
	n := 0
	for i := range s.Items {
		t := &s.Items[i]
		n += itemOverheadBytes + len(t.ID) + len(t.Path) + len(t.Group) + len(t.Body)
		for k, v := range t.Header {
			n += fieldOverheadBytes + len(k) + len(v)
		}
		if t.Scorer != nil {
			n += len(t.Scorer.ID) + len(t.Scorer.Host) + len(t.Scorer.Path) + len(t.Scorer.Body)
		}
	}
	return int64(n)
}
