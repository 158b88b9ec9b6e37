package model

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Config constructs an Engine.
type Config struct {
	// Speed is the tokens a second of a stream that runs alone.
	Speed float64 `toml:"speed"`
	// Half is the batch size at which a stream runs at half that speed.
	Half float64 `toml:"half"`
	// Batch is the greatest number of streams that run at once.
	Batch int `toml:"batch"`
	// Prefill is the time of a prompt, in tokens of a stream; a cached prompt
	// takes a tenth of it.
	Prefill float64 `toml:"prefill"`
	// CachePrefixes is the number of prefixes that the cache holds.
	CachePrefixes int `toml:"cache-prefixes"`
	// Pause is how long all streams stand still when weights are swapped.
	Pause time.Duration `toml:"-"`
	// LoadTime is how long new weights take to arrive before the swap.
	LoadTime time.Duration `toml:"-"`
	// LoadFails is the part of the loads that fail, in [0, 1].
	LoadFails float64 `toml:"load-fails"`
	Seed      uint64  `toml:"seed"`
}

// Segment is a run of tokens of one version.
type Segment struct {
	Version    int64
	First, End int
}

// Stream is one generation on an engine.
type Stream struct {
	ID       string
	Model    string
	Prefix   string
	Priority int
	// Length is the number of tokens at which the stream is finished.
	Length int
	// Given is the number of tokens that another engine produced.
	Given int

	// done is the progress before the last start, prefill included, in tokens.
	done float64
	// base is the engine's work counter at the last start.
	base float64
	// prefill is the part of the progress that produces no tokens.
	prefill  float64
	active   bool
	finished bool
	seq      int
	index    int
	segments []Segment
}

// Segments returns the runs of tokens by version, without the given tokens.
func (s *Stream) Segments() []Segment { return s.segments }

// Finished reports whether all tokens are produced.
func (s *Stream) Finished() bool { return s.finished }

// target is the engine's work counter at which the stream is finished.
func (s *Stream) target() float64 {
	return s.base + s.prefill + float64(s.Length-s.Given) - s.done
}

// load is a swap of weights in progress.
type load struct {
	model   string
	version int64
	// arrive is when the weights are there; fails tells that they never are.
	arrive time.Time
	fails  bool
}

// Engine is the model of one engine. Not safe for concurrent use.
type Engine struct {
	c   Config
	now time.Time
	// work counts the tokens that every running stream has produced so far.
	work    float64
	streams map[string]*Stream
	running byTarget
	waiting []*Stream
	// versions holds the version of each model; loads are in progress.
	versions map[string]int64
	loads    []load
	// paused is until when the batch stands still.
	paused time.Time
	failed string
	cache  []string
	rng    *rand.Rand
	seq    int
	// Swaps and Failures count finished and failed loads.
	Swaps, Failures int
	// Busy sums the time with at least one stream, Produced the tokens.
	Busy     time.Duration
	Produced float64
}

// NewEngine returns an idle engine at a time.
func NewEngine(now time.Time, c Config) *Engine {
	return &Engine{
		c: c, now: now,
		streams: make(map[string]*Stream), versions: make(map[string]int64),
		rng: rand.New(rand.NewPCG(c.Seed, 7)),
	}
}

// rate returns the tokens a second of each running stream.
func (e *Engine) rate() float64 {
	return e.c.Speed / (1 + float64(max(0, len(e.running)-1))/e.c.Half)
}

// Rate returns the tokens a second of each of n streams.
func (c *Config) Rate(n int) float64 { return c.Speed / (1 + float64(max(0, n-1))/c.Half) }

// Version returns the loaded version of a model; every model begins at 1.
func (e *Engine) Version(model string) int64 { return max(1, e.versions[model]) }

// Versions returns the loaded versions.
func (e *Engine) Versions() map[string]int64 { return maps.Clone(e.versions) }

// Counts returns the number of running and of waiting streams.
func (e *Engine) Counts() (running, waiting int) { return len(e.running), len(e.waiting) }

// Loading reports whether a load is in progress.
func (e *Engine) Loading() bool { return len(e.loads) > 0 }

// Failed names the last load when it failed.
func (e *Engine) Failed() string { return e.failed }

// Stream returns the stream with the given id, or nil.
func (e *Engine) Stream(id string) *Stream { return e.streams[id] }

// IDs returns the ids of all streams, sorted.
func (e *Engine) IDs() []string { return slices.Sorted(maps.Keys(e.streams)) }

// Add starts a stream, or queues it when the batch is full.
func (e *Engine) Add(now time.Time, s *Stream) {
	e.Advance(now)
	e.seq++
	s.seq = e.seq
	e.streams[s.ID] = s
	s.prefill = e.prefill(s.Prefix)
	e.waiting = append(e.waiting, s)
	e.schedule()
}

// prefill returns the cost of a prompt and puts it into the cache.
func (e *Engine) prefill(prefix string) float64 {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), prefix)
		return e.c.Prefill / 10
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > max(1, e.c.CachePrefixes) {
		e.cache = e.cache[1:]
	}
	return e.c.Prefill
}

// Cached returns the prefixes in the cache, the oldest first.
func (e *Engine) Cached() []string { return slices.Clone(e.cache) }

// Remove drops a stream, finished or not.
func (e *Engine) Remove(now time.Time, id string) {
	e.Advance(now)
	s := e.streams[id]
	if s == nil {
		return
	}
	delete(e.streams, id)
	if s.active {
		heap.Remove(&e.running, s.index)
		s.active = false
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(w *Stream) bool { return w == s })
	e.schedule()
}

// Load begins to load a version of a model. Versions at or below the loaded one
// have no effect.
func (e *Engine) Load(now time.Time, model string, v int64) {
	e.Advance(now)
	if v <= e.versions[model] {
		return
	}
	e.failed = ""
	e.loads = slices.DeleteFunc(e.loads, func(l load) bool { return l.model == model && l.version <= v })
	e.loads = append(e.loads, load{model, v, now.Add(e.c.LoadTime), e.rng.Float64() < e.c.LoadFails})
}

// SetLoadFails sets the part of the loads that fail from now on.
func (e *Engine) SetLoadFails(f float64) { e.c.LoadFails = f }

// FailLoads makes the loads in progress fail, as when the store refuses them.
func (e *Engine) FailLoads() {
	for i := range e.loads {
		e.loads[i].fails = true
	}
}

// schedule fills the batch from the queue, the highest priority first, and lets
// a stream of a higher priority take the place of one of a lower.
func (e *Engine) schedule() {
	slices.SortStableFunc(e.waiting, func(a, b *Stream) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return a.seq - b.seq
	})
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		if len(e.running) >= e.c.Batch && !e.preempt(s.Priority) {
			return
		}
		e.waiting = e.waiting[1:]
		s.active = true
		s.base = e.work
		heap.Push(&e.running, s)
	}
}

// preempt puts the youngest stream of the lowest priority back into the queue.
func (e *Engine) preempt(priority int) bool {
	var low *Stream
	for _, s := range e.running {
		if s.Priority < priority && (low == nil || s.Priority < low.Priority || s.Priority == low.Priority && s.seq > low.seq) {
			low = s
		}
	}
	if low == nil {
		return false
	}
	heap.Remove(&e.running, low.index)
	e.note(low)
	low.done += e.work - low.base
	low.prefill += e.c.Prefill / 2
	low.active = false
	e.waiting = append(e.waiting, low)
	return true
}

// Tokens returns how many tokens a stream has, the given ones among them.
func (e *Engine) Tokens(s *Stream) int {
	if s.finished {
		return s.Length
	}
	p := s.done
	if s.active {
		p += e.work - s.base
	}
	n := int(math.Floor(p - s.prefill + 1e-6))
	return min(s.Length, s.Given+max(0, n))
}

// note records the tokens so far as produced by the version that is loaded.
func (e *Engine) note(s *Stream) {
	n := e.Tokens(s)
	v := e.Version(s.Model)
	first := s.Given
	if l := len(s.segments); l > 0 {
		first = s.segments[l-1].End
	}
	if n <= first {
		return
	}
	if l := len(s.segments); l > 0 && s.segments[l-1].Version == v {
		s.segments[l-1].End = n
		return
	}
	s.segments = append(s.segments, Segment{v, first, n})
}

// Note records the tokens so far of a stream and returns its segments.
func (e *Engine) Note(s *Stream) []Segment {
	if !s.finished {
		e.note(s)
	}
	return s.segments
}

// Next returns when the engine changes by itself the next time.
func (e *Engine) Next() (time.Time, bool) {
	var t time.Time
	ok := false
	take := func(x time.Time) {
		if !ok || x.Before(t) {
			t, ok = x, true
		}
	}
	if len(e.running) > 0 {
		start := e.now
		if e.paused.After(start) {
			start = e.paused
		}
		d := max(0, e.running[0].target()-e.work) / e.rate()
		take(start.Add(time.Duration(math.Ceil(d * 1e9))))
	}
	for _, l := range e.loads {
		take(l.arrive)
	}
	return t, ok
}

// Advance moves the engine to a time and returns the streams that finished.
func (e *Engine) Advance(now time.Time) []*Stream {
	var done []*Stream
	for {
		t, ok := e.Next()
		if !ok || t.After(now) {
			break
		}
		e.run(t)
		done = append(done, e.finish()...)
		e.swap(t)
	}
	e.run(now)
	return append(done, e.finish()...)
}

// run adds the work until a time, within which nothing finishes.
func (e *Engine) run(t time.Time) {
	if !t.After(e.now) {
		return
	}
	from := e.now
	e.now = t
	if e.paused.After(from) {
		from = e.paused
	}
	if len(e.running) == 0 || !t.After(from) {
		return
	}
	d := t.Sub(from)
	w := d.Seconds() * e.rate()
	e.work += w
	e.Busy += d
	e.Produced += w * float64(len(e.running))
}

// finish takes the streams out of the batch that have all their tokens.
func (e *Engine) finish() []*Stream {
	var done []*Stream
	for len(e.running) > 0 && e.running[0].target() <= e.work+1e-6 {
		s := heap.Pop(&e.running).(*Stream)
		s.done += e.work - s.base + 1e-6
		s.active = false
		n := s.done
		s.done = max(n, s.prefill+float64(s.Length-s.Given))
		e.note(s)
		s.finished = true
		done = append(done, s)
	}
	if len(done) > 0 {
		e.schedule()
	}
	return done
}

// swap ends the loads that are due.
func (e *Engine) swap(now time.Time) {
	var left []load
	for _, l := range e.loads {
		switch {
		case l.arrive.After(now):
			left = append(left, l)
		case l.fails:
			e.failed = l.model
			e.Failures++
		default:
			for _, s := range e.running {
				e.note(s)
			}
			for _, s := range e.waiting {
				e.note(s)
			}
			e.versions[l.model] = max(e.versions[l.model], l.version)
			e.Swaps++
			e.paused = now.Add(e.c.Pause)
		}
	}
	e.loads = left
}

// byTarget is a heap of running streams, the one that finishes first on top.
type byTarget []*Stream

func (h byTarget) Len() int           { return len(h) }
func (h byTarget) Less(i, j int) bool { return h[i].target() < h[j].target() }

func (h byTarget) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds a stream; it is called by package heap only.
func (h *byTarget) Push(x any) {
	s := x.(*Stream)
	s.index = len(*h)
	*h = append(*h, s)
}

// Pop takes the last stream; it is called by package heap only.
func (h *byTarget) Pop() any {
	o := *h
	s := o[len(o)-1]
	*h = o[:len(o)-1]
	return s
}
