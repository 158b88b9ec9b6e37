// Package directory holds the backend servers that are known to take work.
//
// Directory folds the registrations of servers in the order of the log. An entry
// that vanished around an outage of the log is kept for a while, as its server
// may just have been unable to renew it; any other one counts as leaving at once.
package directory

import (
	"maps"
	"net/netip"
	"sort"
	"time"
)

// ReturnGrace is how long after an outage of the log a vanished entry is kept:
// live servers register again within about two seconds.
const ReturnGrace = 2 * time.Second

// Server is one incarnation of a backend server.
type Server struct {
	ID      string
	Service string
	Address netip.AddrPort
	// Domain is the failure domain that the server runs in.
	Domain string
	Slots  int
	// Leaving servers get no new work.
	Leaving bool
	// Versions holds the version of each model that the server last stated.
	Versions map[string]int64
	// Renewals counts the registrations; each has a new count.
	Renewals int64
	// Born is when the server started, by its own clock.
	Born time.Time
}

// Directory is the set of registered servers. It has no I/O and is not safe for
// concurrent use.
type Directory struct {
	servers map[string]*entry
	// outageEnd is when the log was last found to be back, zero if never away.
	outageEnd time.Time
	away      bool
	// dirty tells that the servers are not those of the last snapshot.
	dirty bool
	// vanishing counts the entries whose registration was removed.
	vanishing int
}

type entry struct {
	// s is the server as registered, with the versions that it stated since.
	s Server
	// registered is the registration as it was read.
	registered Server
	// vanished is when the registration was removed; zero while it stands.
	vanished time.Time
}

// equal reports whether two registrations say the same, one more renewal aside.
func (s *Server) equal(o *Server) bool {
	return s.ID == o.ID && s.Service == o.Service && s.Address == o.Address && s.Domain == o.Domain && s.Slots == o.Slots &&
		s.Leaving == o.Leaving && s.Born.Equal(o.Born) && maps.Equal(s.Versions, o.Versions)
}

// New returns an empty directory.
func New() *Directory { return &Directory{servers: make(map[string]*entry)} }

// Put takes a registration. Most only renew the one before and change nothing.
func (d *Directory) Put(s Server) {
	e := d.servers[s.ID]
	if e != nil && e.vanished.IsZero() && e.registered.equal(&s) {
		return
	}
	if e != nil && !e.vanished.IsZero() {
		d.vanishing--
	}
	d.servers[s.ID] = &entry{s: s, registered: s}
	d.dirty = true
}

// Remove takes the removal of a registration.
func (d *Directory) Remove(id string, now time.Time) {
	if e := d.servers[id]; e != nil && e.vanished.IsZero() {
		e.vanished = now
		d.vanishing++
		d.dirty = true
	}
}

// Observe takes a version that a server stated in an answer.
func (d *Directory) Observe(id, model string, v int64) bool {
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

// Retain removes all servers that are not in keep; used after a gap was mended
// from the newest records.
func (d *Directory) Retain(keep map[string]bool, now time.Time) {
	for id := range d.servers {
		if !keep[id] {
			d.Remove(id, now)
		}
	}
}

// LogAway tells that the log could not be read.
func (d *Directory) LogAway() { d.away = true }

// LogBack tells that the log was read at now.
func (d *Directory) LogBack(now time.Time) {
	if d.away {
		d.away, d.outageEnd = false, now
	}
}

// Changed reports whether a snapshot may differ from the last one.
func (d *Directory) Changed() bool { return d.dirty || d.vanishing > 0 }

// Snapshot returns the servers in the order of their ids, and forgets those that
// vanished for good. A server that vanished while the log was away or within
// ReturnGrace of its return is kept until then.
func (d *Directory) Snapshot(now time.Time) []Server {
	d.dirty = false
	r := make([]Server, 0, len(d.servers))
	for id, e := range d.servers {
		if !e.vanished.IsZero() && !d.spared(now) {
			delete(d.servers, id)
			d.vanishing--
			continue
		}
		r = append(r, e.s)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].ID < r[j].ID })
	return r
}

func (d *Directory) spared(now time.Time) bool {
	return d.away || (!d.outageEnd.IsZero() && now.Sub(d.outageEnd) < ReturnGrace)
}
