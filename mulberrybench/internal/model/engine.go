package model

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Config holds the parameters of an Engine.
type Config struct {
	// Speed is the rate of a stream that runs alone, in tokens per second.
	Speed float64 `toml:"speed"`
	// HalfSpeedBatch is the number of additional streams in the batch that halves the rate of
	// each stream.
	HalfSpeedBatch float64 `toml:"half"`
	// MaxBatch is the maximum number of streams that run at once.
	MaxBatch int `toml:"batch"`
	// PrefillTokens is the cost of a prompt, in tokens that the stream could produce in the
	// same time. A cached prompt costs a tenth of it.
	PrefillTokens float64 `toml:"prefill"`
	// CachePrefixes is the capacity of the prefix cache.
	CachePrefixes int `toml:"cache-prefixes"`
	// Pause is how long all streams pause when weights are swapped.
	Pause time.Duration `toml:"-"`
	// LoadTime is how long it takes to fetch new weights before the swap.
	LoadTime time.Duration `toml:"-"`
	// LoadFails is the fraction of loads that fail, in [0, 1].
	LoadFails float64 `toml:"load-fails"`
	Seed      uint64  `toml:"seed"`
}

// Segment is a run of consecutive tokens, from First up to but excluding End, that one
// version of the weights produced.
type Segment struct {
	Version    int64
	First, End int
}

// Stream is the generation of one sample on an engine.
type Stream struct {
	ID       string
	Model    string
	Prefix   string
	Priority int
	// Length is the number of tokens at which the stream is finished, PriorTokens
	// included.
	Length int
	// PriorTokens is the number of tokens that another engine has already produced.
	PriorTokens int

	// done is the progress, in tokens and prefill included, up to the last time that the
	// stream left the batch.
	done float64
	// workAtStart is the value of Engine.work when the stream last joined the batch.
	workAtStart float64
	// prefillCost is the part of the progress that yields no tokens.
	prefillCost float64
	// active is set while the stream is in the batch.
	active   bool
	finished bool
	// seq numbers the streams of an engine in the order in which they were added.
	seq int
	// heapIndex is the position in Engine.running while the stream is active.
	heapIndex int
	segments  []Segment
}

// Segments returns the recorded segments, without the prior tokens.
func (s *Stream) Segments() []Segment { return s.segments }

// Finished reports whether all tokens have been produced.
func (s *Stream) Finished() bool { return s.finished }

// finishWork returns the value of Engine.work at which the active stream is finished.
func (s *Stream) finishWork() float64 {
	return s.workAtStart + s.prefillCost + float64(s.Length-s.PriorTokens) - s.done
}

// load is a load of weights in progress.
type load struct {
	model   string
	version int64
	// arrivesAt is when the weights have been fetched and the swap takes place, or when
	// the load fails if willFail is set.
	arrivesAt time.Time
	willFail  bool
}

// Engine simulates one engine. It is not safe for concurrent use.
type Engine struct {
	c   Config
	now time.Time
	// work is the number of tokens, prefill included, that a stream would have produced
	// had it been running all the time. All running streams progress at the same rate,
	// so that one counter serves them all.
	work    float64
	streams map[string]*Stream
	running finishHeap
	waiting []*Stream
	// versions holds the loaded version of each model, loads those in progress.
	versions map[string]int64
	loads    []load
	// pausedUntil is the time up to which the batch pauses.
	pausedUntil time.Time
	// failedModel is the model of the last load that failed, or "" once another load has
	// been started.
	failedModel string
	// cache holds the cached prefixes, the least recently used first.
	cache []string
	rng   *rand.Rand
	seq   int
	// Swaps and Failures count the loads that succeeded and failed.
	Swaps, Failures int
	// Busy is the total time during which at least one stream was progressing. Produced
	// is the total progress of all streams, in tokens, prefill included.
	Busy     time.Duration
	Produced float64
}

// NewEngine returns an idle engine whose time is now.
func NewEngine(now time.Time, c Config) *Engine {
	return &Engine{
		c: c, now: now,
		streams: make(map[string]*Stream), versions: make(map[string]int64),
		rng: rand.New(rand.NewPCG(c.Seed, 7)),
	}
}

// rate returns the rate of each running stream, in tokens per second.
func (e *Engine) rate() float64 {
	return e.c.Speed / (1 + float64(max(0, len(e.running)-1))/e.c.HalfSpeedBatch)
}

// Rate returns the rate of each of n running streams, in tokens per second.
func (c *Config) Rate(n int) float64 { return c.Speed / (1 + float64(max(0, n-1))/c.HalfSpeedBatch) }

// Version returns the loaded version of a model. Every model starts at version 1.
func (e *Engine) Version(model string) int64 { return max(1, e.versions[model]) }

// Versions returns the versions of the models that were loaded since the start.
func (e *Engine) Versions() map[string]int64 { return maps.Clone(e.versions) }

// Counts returns the numbers of running and of waiting streams.
func (e *Engine) Counts() (running, waiting int) { return len(e.running), len(e.waiting) }

// Loading reports whether a load is in progress.
func (e *Engine) Loading() bool { return len(e.loads) > 0 }

// Failed returns the model of the last load that failed, or "" if another load has
// been started since.
func (e *Engine) Failed() string { return e.failedModel }

// Stream returns the stream with the given id, or nil if there is none.
func (e *Engine) Stream(id string) *Stream { return e.streams[id] }

// IDs returns the ids of all streams, sorted.
func (e *Engine) IDs() []string { return slices.Sorted(maps.Keys(e.streams)) }

// Add starts a stream, or queues it if the batch is full.
func (e *Engine) Add(now time.Time, s *Stream) {
	e.Advance(now)
	e.seq++
	s.seq = e.seq
	e.streams[s.ID] = s
	s.prefillCost = e.prefillCost(s.Prefix)
	e.waiting = append(e.waiting, s)
	e.schedule()
}

// prefillCost returns the cost of a prompt, in tokens, and makes it the most recently used
// one in the cache.
func (e *Engine) prefillCost(prefix string) float64 {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = append(slices.Delete(e.cache, i, i+1), prefix)
		return e.c.PrefillTokens / 10
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > max(1, e.c.CachePrefixes) {
		e.cache = e.cache[1:]
	}
	return e.c.PrefillTokens
}

// Cached returns the prefixes in the cache, the least recently used first.
func (e *Engine) Cached() []string { return slices.Clone(e.cache) }

// Remove removes a stream, finished or not. Unknown ids have no effect.
func (e *Engine) Remove(now time.Time, id string) {
	e.Advance(now)
	s := e.streams[id]
	if s == nil {
		return
	}
	delete(e.streams, id)
	if s.active {
		heap.Remove(&e.running, s.heapIndex)
		s.active = false
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(w *Stream) bool { return w == s })
	e.schedule()
}

// Load starts to load a version of a model; it replaces loads in progress of the same
// model at or below that version. Versions at or below the loaded one have no effect.
func (e *Engine) Load(now time.Time, model string, v int64) {
	e.Advance(now)
	if v <= e.versions[model] {
		return
	}
	e.failedModel = ""
	e.loads = slices.DeleteFunc(e.loads, func(l load) bool { return l.model == model && l.version <= v })
	e.loads = append(e.loads, load{model, v, now.Add(e.c.LoadTime), e.rng.Float64() < e.c.LoadFails})
}

// SetLoadFails sets the fraction of future loads that fail.
func (e *Engine) SetLoadFails(f float64) { e.c.LoadFails = f }

// FailLoads makes the loads in progress fail, as if the weight store refused them.
func (e *Engine) FailLoads() {
	for i := range e.loads {
		e.loads[i].willFail = true
	}
}

// schedule fills the batch from the queue, highest priority first and then in the order
// of arrival. If the batch is full, waiting streams preempt those of a lower priority.
func (e *Engine) schedule() {
	slices.SortStableFunc(e.waiting, func(a, b *Stream) int {
		if a.Priority != b.Priority {
			return b.Priority - a.Priority
		}
		return a.seq - b.seq
	})
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		if len(e.running) >= e.c.MaxBatch && !e.preempt(s.Priority) {
			return
		}
		e.waiting = e.waiting[1:]
		s.active = true
		s.workAtStart = e.work
		heap.Push(&e.running, s)
	}
}

// preempt moves a running stream with a priority below the given one back into the
// queue: the newest of those with the lowest priority. It returns false if there is
// none. The stream pays half the cost of an uncached prompt when it resumes.
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
	heap.Remove(&e.running, low.heapIndex)
	e.recordSegment(low)
	low.done += e.work - low.workAtStart
	low.prefillCost += e.c.PrefillTokens / 2
	low.active = false
	e.waiting = append(e.waiting, low)
	return true
}

// Tokens returns the number of tokens that a stream has, the prior ones included.
func (e *Engine) Tokens(s *Stream) int {
	if s.finished {
		return s.Length
	}
	p := s.done
	if s.active {
		p += e.work - s.workAtStart
	}
	n := int(math.Floor(p - s.prefillCost + 1e-6))
	return min(s.Length, s.PriorTokens+max(0, n))
}

// recordSegment attributes the tokens since the last segment to the loaded version. It
// must be called before the version changes.
func (e *Engine) recordSegment(s *Stream) {
	n := e.Tokens(s)
	v := e.Version(s.Model)
	first := s.PriorTokens
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

// RecordSegments updates the segments of a stream to cover its tokens so far and returns them.
func (e *Engine) RecordSegments(s *Stream) []Segment {
	if !s.finished {
		e.recordSegment(s)
	}
	return s.segments
}

// Next returns the time of the engine's next event, the end of a stream or of a load,
// or false if there is none.
func (e *Engine) Next() (time.Time, bool) {
	var t time.Time
	ok := false
	consider := func(x time.Time) {
		if !ok || x.Before(t) {
			t, ok = x, true
		}
	}
	if len(e.running) > 0 {
		start := e.now
		if e.pausedUntil.After(start) {
			start = e.pausedUntil
		}
		d := max(0, e.running[0].finishWork()-e.work) / e.rate()
		consider(start.Add(time.Duration(math.Ceil(d * 1e9))))
	}
	for _, l := range e.loads {
		consider(l.arrivesAt)
	}
	return t, ok
}

// Advance runs the engine up to the given time and returns the streams that finished on
// the way. They stay in the engine, outside the batch, until Remove.
func (e *Engine) Advance(now time.Time) []*Stream {
	var done []*Stream
	for {
		t, ok := e.Next()
		if !ok || t.After(now) {
			break
		}
		e.advanceWork(t)
		done = append(done, e.finishStreams()...)
		e.completeLoads(t)
	}
	e.advanceWork(now)
	return append(done, e.finishStreams()...)
}

// advanceWork moves the time to t and adds the work done until then. No stream and no
// load may end before t.
func (e *Engine) advanceWork(t time.Time) {
	if !t.After(e.now) {
		return
	}
	from := e.now
	e.now = t
	if e.pausedUntil.After(from) {
		from = e.pausedUntil
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

// finishStreams removes the streams that have all their tokens from the batch and
// returns them.
func (e *Engine) finishStreams() []*Stream {
	var done []*Stream
	for len(e.running) > 0 && e.running[0].finishWork() <= e.work+1e-6 {
		s := heap.Pop(&e.running).(*Stream)
		s.done += e.work - s.workAtStart + 1e-6
		s.active = false
		n := s.done
		s.done = max(n, s.prefillCost+float64(s.Length-s.PriorTokens))
		e.recordSegment(s)
		s.finished = true
		done = append(done, s)
	}
	if len(done) > 0 {
		e.schedule()
	}
	return done
}

// completeLoads ends the loads that are due: it swaps the weights, or records the
// failure.
func (e *Engine) completeLoads(now time.Time) {
	var remaining []load
	for _, l := range e.loads {
		switch {
		case l.arrivesAt.After(now):
			remaining = append(remaining, l)
		case l.willFail:
			e.failedModel = l.model
			e.Failures++
		default:
			for _, s := range e.running {
				e.recordSegment(s)
			}
			for _, s := range e.waiting {
				e.recordSegment(s)
			}
			e.versions[l.model] = max(e.versions[l.model], l.version)
			e.Swaps++
			e.pausedUntil = now.Add(e.c.Pause)
		}
	}
	e.loads = remaining
}

// finishHeap implements heap.Interface over the running streams. The stream that
// finishes first is on top.
type finishHeap []*Stream

func (h finishHeap) Len() int           { return len(h) }
func (h finishHeap) Less(i, j int) bool { return h[i].finishWork() < h[j].finishWork() }

func (h finishHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends a stream. Only package heap calls it.
func (h *finishHeap) Push(x any) {
	s := x.(*Stream)
	s.heapIndex = len(*h)
	*h = append(*h, s)
}

// Pop removes and returns the last stream. Only package heap calls it.
func (h *finishHeap) Pop() any {
	o := *h
	s := o[len(o)-1]
	*h = o[:len(o)-1]
	return s
}
