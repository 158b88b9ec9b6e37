// Package membersim runs the member tables of many hosts in one goroutine and in virtual
// time, to measure the traffic of membership and how fast changes reach all hosts. It
// simulates the network between the tables of package member, but nothing else of a
// host.
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
	// tick is the interval at which a table's Tick method is called.
	tick = 50 * time.Millisecond
	// heartbeatOverhead is what the frame (24 bytes) and the headers of TCP and IP (40)
	// add to a heartbeat.
	heartbeatOverhead = 24 + 40
	// regions is the number of regions over which the hosts are spread.
	regions = 5
)

// Config holds the parameters of a Simulation.
type Config struct {
	Hosts int
	// IntraRegionDelay is the one-way delay between hosts of the same region,
	// InterRegionDelay that between hosts of different regions.
	IntraRegionDelay, InterRegionDelay time.Duration
	// LossRate is the fraction of messages that are lost, in [0, 1].
	LossRate float64
	Seed     uint64
	// Table configures the timing of the member tables. Self and Seed are overwritten.
	Table member.Config
}

// Host is a simulated entry host.
type Host struct {
	ID     string
	Region int
	Table  *member.Table
	// Up is false once the process has ended. Paused is set while it is frozen: it
	// neither sends nor receives, but connections to it are not refused.
	Up, Paused bool
	// Bytes and Messages count the traffic that the host has sent.
	Bytes, Messages int
	addr            netip.AddrPort
}

// Simulation is a set of hosts with their member tables, in virtual time. It is not safe
// for concurrent use.
type Simulation struct {
	c         Config
	Now       time.Time
	Hosts     []*Host
	events    eventqueue.Queue
	rng       *rand.Rand
	byAddress map[netip.AddrPort]*Host
	// cut[a][b] is set while region a cannot reach region b.
	cut   [regions][regions]bool
	start time.Time
}

// New returns a simulation whose hosts already know each other.
func New(c Config) *Simulation {
	r := &Simulation{c: c, Now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(c.Seed, 3)), byAddress: make(map[netip.AddrPort]*Host)}
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

// add adds a host and starts its ticks, at a random time within the first interval so
// that the hosts do not tick in step.
func (r *Simulation) add(id string, region int) *Host {
	n := len(r.Hosts)
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(region), byte(n >> 8), byte(n)}), 7000)
	h := &Host{ID: id, Region: region, Up: true, addr: a}
	t := r.c.Table
	t.Self = member.Member{ID: id, Address: a, Region: fmt.Sprint(region), Incarnation: 1}
	t.Seed = r.c.Seed
	h.Table = member.New(t)
	r.Hosts = append(r.Hosts, h)
	r.byAddress[a] = h
	r.schedule(time.Duration(r.rng.Int64N(int64(tick))), func() { r.tick(h) })
	return h
}

// Join adds a host that knows only the address of the given one.
func (r *Simulation) Join(id string, region int, known *Host) *Host {
	h := r.add(id, region)
	r.sendAll(h, h.Table.Discover(known.addr))
	return h
}

// Discover tells host h the address of another, as the platform's host list does.
func (r *Simulation) Discover(h, known *Host) { r.sendAll(h, h.Table.Discover(known.addr)) }

// schedule runs f after d.
func (r *Simulation) schedule(d time.Duration, f func()) {
	r.events.Add(r.Now.Add(d), f)
}

// tick calls Tick on the host's table, unless the host is paused, and schedules the next
// tick. The ticks end when the host goes down.
func (r *Simulation) tick(h *Host) {
	if h.Up && !h.Paused {
		r.sendAll(h, h.Table.Tick(r.Now))
	}
	if h.Up {
		r.schedule(tick, func() { r.tick(h) })
	}
}

// Leave makes a host announce the state s, which is member.Leaving or member.Left.
func (r *Simulation) Leave(h *Host, s member.State) { r.sendAll(h, h.Table.Leave(r.Now, s)) }

// SetPartitioned starts or ends a network partition between two regions.
func (r *Simulation) SetPartitioned(a, b int, cut bool) { r.cut[a][b], r.cut[b][a] = cut, cut }

// sendAll sends the heartbeats in the output of host h's table.
func (r *Simulation) sendAll(h *Host, o member.Output) {
	for i := range o.Sends {
		r.send(h, &o.Sends[i])
	}
}

// send delivers a heartbeat after the delay between the regions. The heartbeat is lost at
// random, or if the address is unknown, the regions are partitioned or the receiver is
// paused. If the receiver is down, the sender learns that the connection was refused,
// unless the heartbeat was sent to an address without a host id.
func (r *Simulation) send(h *Host, s *member.Send) {
	b, err := msgpack.Marshal(&s.Heartbeat)
	if err != nil {
		panic(err)
	}
	h.Bytes += len(b) + heartbeatOverhead
	h.Messages++
	to := r.byAddress[s.To.Address]
	if to == nil || r.cut[h.Region][to.Region] || r.rng.Float64() < r.c.LossRate {
		return
	}
	d := r.c.IntraRegionDelay
	if to.Region != h.Region {
		d = r.c.InterRegionDelay
	}
	x := s.Heartbeat
	r.schedule(d, func() {
		switch {
		case !to.Up && s.To.ID != "":
			r.schedule(d, func() {
				if h.Up && !h.Paused {
					r.sendAll(h, h.Table.ConnectionRefused(r.Now, s.To.ID))
				}
			})
		case to.Up && !to.Paused:
			r.sendAll(to, to.Table.Receive(r.Now, &x))
		}
	})
}

// RunFor runs the simulation for d.
func (r *Simulation) RunFor(d time.Duration) { r.runUntil(r.Now.Add(d), func() bool { return false }) }

// RunUntil runs the simulation until f returns true, but no longer than limit. It returns
// how long it ran, and whether f returned true.
func (r *Simulation) RunUntil(limit time.Duration, f func() bool) (time.Duration, bool) {
	from := r.Now
	ok := r.runUntil(r.Now.Add(limit), f)
	return r.Now.Sub(from), ok
}

// runUntil runs the events up to end until f returns true, and reports whether it did.
// As f is costly, it is called at most twice per tick interval, and once more at the end.
func (r *Simulation) runUntil(end time.Time, f func() bool) bool {
	next := r.Now
	for at, do := r.events.PopUntil(end); do != nil; at, do = r.events.PopUntil(end) {
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

// AllSee reports whether all running hosts see the host with the given id in one of the
// states.
func (r *Simulation) AllSee(id string, states ...member.State) bool {
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

// Converged reports whether every running host counts as many members as there are hosts
// that are up. It does not compare which ones.
func (r *Simulation) Converged() bool {
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

// Traffic returns the mean bytes and messages per second that a host sent over d, the
// time since the counters were reset. Hosts that are down do not count.
func (r *Simulation) Traffic(d time.Duration) (bytes, messages float64) {
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

// ResetTraffic sets the traffic counters of all hosts to zero.
func (r *Simulation) ResetTraffic() {
	for _, h := range r.Hosts {
		h.Bytes, h.Messages = 0, 0
	}
}
