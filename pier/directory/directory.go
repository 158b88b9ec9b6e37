// Package directory maintains the set of registered backend servers.
//
// A Directory replays the registrations of servers in the order of the log. A server whose
// registration is removed around an outage of the log is kept for a grace period, as it
// may only have been unable to renew its registration; any other one is dropped at once.
package directory

import (
	"maps"
	"net/netip"
	"sort"
	"time"
)

// ReregisterGrace is how long after an outage of the log a server is kept whose
// registration was removed: live servers register again within about two seconds.
const ReregisterGrace = 2 * time.Second

// leavingMemory is how long an incarnation that is not registered is remembered as leaving
// after it last said so. It may register again as ready after an outage of the log.
const leavingMemory = 10 * time.Minute

// DoubtGrace is how long a server stays registered whose newest registration cannot be read. A live
// server registers again within that time.
const DoubtGrace = 4 * time.Second

// Server is one incarnation of a backend server.
type Server struct {
	ID      string
	Service string
	Address netip.AddrPort
	// Domain is the failure domain that the server runs in.
	Domain string
	// Software is the version of the software that the server runs, empty if it states none.
	Software string
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Leaving reports whether the server is shutting down and must get no new work, by its
	// registration or by one of its answers.
	Leaving bool
	// Reclaimable reports whether the provider may take the server away at short notice.
	Reclaimable bool
	// LeavesAt is when a server that leaves ends at the latest, as of when its registration was read; zero
	// if the registration states no time.
	LeavesAt time.Time
	// Versions maps each model to the version that the server last reported.
	Versions map[string]int64
	// RenewalSeq is the sequence number of the registration; it differs in each renewal.
	RenewalSeq int64
	// Born is the time at which the server started, by its own clock.
	Born time.Time
}

// Software identifies what servers run. What one generates, another cannot continue.
type Software struct {
	Service string `msgpack:"s"`
	Version string `msgpack:"v"`
}

// Known reports whether both the service and the version are known.
func (s Software) Known() bool { return s.Service != "" && s.Version != "" }

// Runs returns the software that the server runs.
func (s *Server) Runs() Software { return Software{Service: s.Service, Version: s.Software} }

// Directory is the set of registered servers. It performs no I/O and is not safe for
// concurrent use.
type Directory struct {
	servers map[string]*entry
	// outageEnd is when the log was first read again after its last outage; zero if there
	// was none.
	outageEnd time.Time
	// logDown reports whether the log cannot be read at present.
	logDown bool
	// dirty reports whether the servers have changed since the last snapshot.
	dirty bool
	// removedCount is the number of entries whose registration was removed.
	removedCount int
	// leaving holds the incarnations that stated in an answer that they leave, each with the
	// time at which it may be forgotten if it is not registered.
	leaving map[Incarnation]time.Time
}

type entry struct {
	// s is the server as registered, with the versions that it has reported since.
	s Server
	// registered is the registration as it was read from the log.
	registered Server
	// removedAt is when the registration was or will be removed; zero if it was not.
	removedAt time.Time
}

// equal reports whether two registrations are the same except for RenewalSeq.
func (s *Server) equal(o *Server) bool {
	return s.ID == o.ID && s.Service == o.Service && s.Address == o.Address && s.Domain == o.Domain && s.Software == o.Software && s.Slots == o.Slots &&
		s.Leaving == o.Leaving && s.Reclaimable == o.Reclaimable && s.LeavesAt.Equal(o.LeavesAt) && s.Born.Equal(o.Born) && maps.Equal(s.Versions, o.Versions)
}

// leavesAt returns when the server leaves by its registration s and a newer one, o: at the earlier time, as a
// repeated registration may state the same time left again.
func (s *Server) leavesAt(o *Server) time.Time {
	again := s.Leaving && o.Leaving && s.Incarnation() == o.Incarnation()
	if again && !s.LeavesAt.IsZero() && (o.LeavesAt.IsZero() || s.LeavesAt.Before(o.LeavesAt)) {
		return s.LeavesAt
	}
	return o.LeavesAt
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{servers: make(map[string]*entry), leaving: make(map[Incarnation]time.Time)}
}

// Register adds or replaces the registration of a server. A registration that only renews
// the one before, as most do, changes nothing: versions passed to ObserveVersion since stay
// known.
func (d *Directory) Register(s Server) {
	e := d.servers[s.ID]
	if e != nil {
		s.LeavesAt = e.registered.leavesAt(&s)
	}
	if e != nil && e.removedAt.IsZero() && e.registered.equal(&s) {
		return
	}
	if e != nil && !e.removedAt.IsZero() {
		d.removedCount--
	}
	n := &entry{s: s, registered: s}
	_, leaves := d.leaving[s.Incarnation()]
	n.s.Leaving = s.Leaving || leaves
	d.servers[s.ID] = n
	d.dirty = true
}

// ObserveLeaving records that the incarnation of a server that started at born stated in an
// answer that it leaves. Its registration does not undo that. It returns true if a
// registered server was not known to be leaving.
func (d *Directory) ObserveLeaving(id string, born, now time.Time) bool {
	d.leaving[Incarnation{ID: id, Born: born.UnixNano()}] = now.Add(leavingMemory)
	e := d.servers[id]
	if e == nil || e.s.Leaving || !e.s.Born.Equal(born) {
		return false
	}
	e.s.Leaving = true
	d.dirty = true
	return true
}

// forgetLeaving drops the marks of incarnations that have not been registered for long. Which of
// two incarnations of a server is the newer one does not follow from when they started, as the
// server's clock may have stepped in between.
func (d *Directory) forgetLeaving(now time.Time) {
	for k, keepUntil := range d.leaving {
		e := d.servers[k.ID]
		if now.After(keepUntil) && (e == nil || e.s.Incarnation() != k) {
			delete(d.leaving, k)
		}
	}
}

// Unregister marks the registration of a server as removed at now. The next Snapshot
// outside a grace period drops the server.
func (d *Directory) Unregister(id string, now time.Time) { d.remove(id, now) }

// Doubt records that the newest registration of a server cannot be read, as someone else may have
// written it. The server is removed after DoubtGrace, unless it registers again.
func (d *Directory) Doubt(id string, now time.Time) { d.remove(id, now.Add(DoubtGrace)) }

// remove marks the registration of a server as removed at a time, unless it is removed earlier.
func (d *Directory) remove(id string, at time.Time) {
	e := d.servers[id]
	if e == nil || !e.removedAt.IsZero() && !at.Before(e.removedAt) {
		return
	}
	if e.removedAt.IsZero() {
		d.removedCount++
	}
	e.removedAt = at
	d.dirty = true
}

// ObserveVersion records the version of a model that a server reported in an answer. It
// returns true if the server is registered and the version is higher than the one known.
func (d *Directory) ObserveVersion(id, model string, v int64) bool {
	e := d.servers[id]
	if e == nil || e.s.Versions[model] >= v {
		return false
	}
	m := make(map[string]int64, len(e.s.Versions)+1)
	for k, x := range e.s.Versions {
		m[k] = x
	}
	m[model] = v
	e.s.Versions = m
	d.dirty = true
	return true
}

// Registered returns the versions of a server's models by its newest registration. The map must not be
// changed.
func (d *Directory) Registered(id string) map[string]int64 {
	if e := d.servers[id]; e != nil {
		return e.registered.Versions
	}
	return nil
}

// Retain removes all servers whose ids are not in keep. It is used when records expired
// before they were read and the state is rebuilt from the newest record of each key.
func (d *Directory) Retain(keep map[string]bool, now time.Time) {
	for id := range d.servers {
		if !keep[id] {
			d.Unregister(id, now)
		}
	}
}

// LogUnavailable records that the log cannot be read.
func (d *Directory) LogUnavailable() { d.logDown = true }

// LogRecovered records that the log was read at now. After LogUnavailable it starts the
// grace period.
func (d *Directory) LogRecovered(now time.Time) {
	if d.logDown {
		d.logDown, d.outageEnd = false, now
	}
}

// Changed reports whether a new snapshot may differ from the last one.
func (d *Directory) Changed() bool { return d.dirty || d.removedCount > 0 }

// Snapshot returns the servers sorted by id, and drops those whose registrations were
// removed. While the log cannot be read, and for ReregisterGrace after it can be read
// again, removed servers are kept.
func (d *Directory) Snapshot(now time.Time) []Server {
	d.dirty = false
	r := make([]Server, 0, len(d.servers))
	for id, e := range d.servers {
		if !e.removedAt.IsZero() && !now.Before(e.removedAt) && !d.inGracePeriod(now) {
			delete(d.servers, id)
			d.removedCount--
			continue
		}
		r = append(r, e.s)
	}
	d.forgetLeaving(now)
	sort.Slice(r, func(i, j int) bool { return r[i].ID < r[j].ID })
	return r
}

// inGracePeriod reports whether servers are kept although their registrations were removed.
func (d *Directory) inGracePeriod(now time.Time) bool {
	return d.logDown || (!d.outageEnd.IsZero() && now.Sub(d.outageEnd) < ReregisterGrace)
}

// Incarnation identifies one start of a server. It has the same value at all hosts.
type Incarnation struct {
	ID string `msgpack:"i"`
	// Born is when it started, in nanoseconds since the Unix epoch, which differs if an id is
	// used again.
	Born int64 `msgpack:"b"`
}

// Incarnation returns what identifies the server among all that ever start.
func (s *Server) Incarnation() Incarnation {
	return Incarnation{ID: s.ID, Born: s.Born.UnixNano()}
}
