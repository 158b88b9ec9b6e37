// Package membersim drives the member tables of many hosts in one goroutine and
// in virtual time, to measure what membership costs and how fast news spreads.
// It is a harness around the pure core of package member and no model of hosts.
package membersim

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/mulberrybench/internal/eventqueue"
	"mulberrypier.example/pier/member"
)

const (
	// tick is the time between two ticks of a table.
	tick = 50 * time.Millisecond
	// envelope is what frame, TCP and IP add to a heartbeat, in bytes.
	envelope = 24 + 40
	// regions is the number of regions that the hosts are spread over.
	regions = 5
)

// Config constructs a Run.
type Config struct {
	Hosts int
	// Hop is the one-way time between hosts of one region, Far between regions.
	Hop, Far time.Duration
	// Loss is the part of the messages that are lost.
	Loss float64
	Seed uint64
	// Table holds the times of the member tables.
	Table member.Config
}

// Host is one host of a run.
type Host struct {
	ID     string
	Region int
	Table  *member.Table
	// Up is false while the process is dead; Paused while it stands still.
	Up, Paused bool
	// Bytes and Messages count what the host sent.
	Bytes, Messages int
	addr            netip.AddrPort
}

// Run is a set of member tables in virtual time.
type Run struct {
	c     Config
	Now   time.Time
	Hosts []*Host
	todo  eventqueue.Agenda
	rng   *rand.Rand
	by    map[netip.AddrPort]*Host
	// cut parts regions: cut[a][b] is set while a cannot reach b.
	cut   [regions][regions]bool
	start time.Time
}

// New returns a run whose hosts know each other already.
func New(c Config) *Run {
	r := &Run{c: c, Now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(c.Seed, 3)), by: make(map[netip.AddrPort]*Host)}
	r.start = r.Now
	for i := range c.Hosts {
		r.add(fmt.Sprintf("host-%03d", i), i%regions)
	}
	var all []member.Member
	for _, h := range r.Hosts {
		all = append(all, h.Table.Self())
	}
	for _, h := range r.Hosts {
		h.Table.Receive(r.Now, &member.Heartbeat{From: "seed", Answer: true, Deltas: all})
	}
	return r
}

// add makes a host and starts its ticks.
func (r *Run) add(id string, region int) *Host {
	n := len(r.Hosts)
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(region), byte(n >> 8), byte(n)}), 7000)
	h := &Host{ID: id, Region: region, Up: true, addr: a}
	t := r.c.Table
	t.Self = member.Member{ID: id, Address: a, Region: fmt.Sprint(region), Incarnation: 1}
	t.Seed = r.c.Seed
	h.Table = member.New(t)
	r.Hosts = append(r.Hosts, h)
	r.by[a] = h
	r.after(time.Duration(r.rng.Int64N(int64(tick))), func() { r.tick(h) })
	return h
}

// Join starts one more host, which knows only the given one.
func (r *Run) Join(id string, region int, known *Host) *Host {
	h := r.add(id, region)
	r.carry(h, h.Table.Hint(known.addr))
	return h
}

// Hint tells a host the address of another, as the platform's list does.
func (r *Run) Hint(h, known *Host) { r.carry(h, h.Table.Hint(known.addr)) }

func (r *Run) after(d time.Duration, f func()) {
	r.todo.Add(r.Now.Add(d), f)
}

func (r *Run) tick(h *Host) {
	if h.Up && !h.Paused {
		r.carry(h, h.Table.Tick(r.Now))
	}
	if h.Up {
		r.after(tick, func() { r.tick(h) })
	}
}

// Leave makes a host leave on purpose.
func (r *Run) Leave(h *Host, s member.State) { r.carry(h, h.Table.Leave(r.Now, s)) }

// Part cuts two regions, or joins them again.
func (r *Run) Part(a, b int, cut bool) { r.cut[a][b], r.cut[b][a] = cut, cut }

// carry sends the heartbeats of a step.
func (r *Run) carry(h *Host, o member.Output) {
	for i := range o.Sends {
		r.send(h, &o.Sends[i])
	}
}

func (r *Run) send(h *Host, s *member.Send) {
	b, err := msgpack.Marshal(&s.Heartbeat)
	if err != nil {
		panic(err)
	}
	h.Bytes += len(b) + envelope
	h.Messages++
	to := r.by[s.To.Address]
	if to == nil || r.cut[h.Region][to.Region] || r.rng.Float64() < r.c.Loss {
		return
	}
	d := r.c.Hop
	if to.Region != h.Region {
		d = r.c.Far
	}
	x := s.Heartbeat
	r.after(d, func() {
		switch {
		case !to.Up && s.To.ID != "":
			r.after(d, func() {
				if h.Up && !h.Paused {
					r.carry(h, h.Table.Refused(r.Now, s.To.ID))
				}
			})
		case to.Up && !to.Paused:
			r.carry(to, to.Table.Receive(r.Now, &x))
		}
	})
}

// For runs for a time.
func (r *Run) For(d time.Duration) { r.until(r.Now.Add(d), func() bool { return false }) }

// Until runs until a condition holds, at most for a time, and returns how long it
// took, or false.
func (r *Run) Until(most time.Duration, f func() bool) (time.Duration, bool) {
	from := r.Now
	ok := r.until(r.Now.Add(most), f)
	return r.Now.Sub(from), ok
}

func (r *Run) until(end time.Time, f func() bool) bool {
	next := r.Now
	for at, do := r.todo.Take(end); do != nil; at, do = r.todo.Take(end) {
		r.Now = at
		do()
		if !r.Now.Before(next) {
			next = r.Now.Add(tick / 2)
			if f() {
				return true
			}
		}
	}
	r.Now = end
	return f()
}

// Agree reports whether all hosts that run see a host in one of the states.
func (r *Run) Agree(id string, states ...member.State) bool {
	for _, h := range r.Hosts {
		if !h.Up || h.Paused || h.ID == id {
			continue
		}
		m, ok := h.Table.Get(id)
		if !ok || !slices.Contains(states, m.State) {
			return false
		}
	}
	return true
}

// Settled reports whether every host that runs counts exactly those as members.
func (r *Run) Settled() bool {
	n := 0
	for _, h := range r.Hosts {
		if h.Up {
			n++
		}
	}
	for _, h := range r.Hosts {
		if h.Up && !h.Paused && len(h.Table.Candidates()) != n {
			return false
		}
	}
	return true
}

// Traffic returns the mean bytes and messages a second that a host sent since the
// counters were cleared.
func (r *Run) Traffic(d time.Duration) (bytes, messages float64) {
	n := 0
	for _, h := range r.Hosts {
		if h.Up {
			bytes += float64(h.Bytes)
			messages += float64(h.Messages)
			n++
		}
	}
	return bytes / float64(n) / d.Seconds(), messages / float64(n) / d.Seconds()
}

// Clear sets the counters to zero.
func (r *Run) Clear() {
	for _, h := range r.Hosts {
		h.Bytes, h.Messages = 0, 0
	}
}
