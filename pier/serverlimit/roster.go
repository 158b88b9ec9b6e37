package serverlimit

import (
	"slices"
	"time"

	"mulberrypier.example/pier/ring"
)

const (
	// RosterInterval is the time between two readings of the list of hosts by a host that
	// uses it.
	RosterInterval = 2 * time.Second
	// rosterMaxAge is the age of the list from which a host grants only the deputy's share:
	// another one may have become the coordinator.
	rosterMaxAge = 5 * time.Second
	// handover is how long a new coordinator grants only the deputy's share. By then the one
	// before has read the list, or its list is too old.
	handover = rosterMaxAge + time.Second
	// deputyShare is the part of a limit that a host grants that is not known to be the only
	// coordinator. With the coordinator's whole limit it stays well under one and a half
	// times the limit, the most that a server is to get while hosts disagree.
	deputyShare = 0.25
)

// Roster holds the hosts that may grant requests, and says which of them grants the requests to a
// server: the coordinator grants up to the server's limit, and its deputy a small part of it
// to hosts that cannot reach the coordinator. Hosts whose lists differ may each consider
// themselves the coordinator; the shares and times allow for that. It is not safe for
// concurrent use.
type Roster struct {
	// self is the name of this host.
	self string
	// lists holds the newest list last, and the ones before that were in force within the
	// handover time.
	lists []list
	// readAt is when the newest list was last read.
	readAt time.Duration
}

// list is a list of hosts that is in force from a time on.
type list struct {
	hosts []string
	since time.Duration
}

// NewRoster returns a roster without hosts.
func NewRoster(self string) *Roster { return &Roster{self: self} }

// Set sets the list of hosts, which was read at now. A host that has read none for long may have been
// frozen or cut off: another one may have become the coordinator and not know yet that it is none
// any more. So it begins as one without a list.
func (r *Roster) Set(hosts []string, now time.Duration) {
	if now-r.readAt > rosterMaxAge {
		r.lists = nil
	}
	r.readAt = now
	hosts = slices.Clone(hosts)
	slices.Sort(hosts)
	if n := len(r.lists); n > 0 && slices.Equal(r.lists[n-1].hosts, hosts) {
		return
	}
	r.lists = append(r.lists, list{hosts, now})
	for len(r.lists) > 1 && now-r.lists[1].since > handover {
		r.lists = r.lists[1:]
	}
}

// Len returns the number of hosts.
func (r *Roster) Len() int {
	if len(r.lists) == 0 {
		return 0
	}
	return len(r.lists[len(r.lists)-1].hosts)
}

// Due reports whether the list should be read again.
func (r *Roster) Due(now time.Duration) bool {
	return len(r.lists) == 0 || now-r.readAt >= RosterInterval
}

// Coordinators returns the coordinator of a server and its deputy. Either is empty if there
// is none.
func (r *Roster) Coordinators(server string) (first, deputy string) {
	if len(r.lists) == 0 {
		return "", ""
	}
	return r.lists[len(r.lists)-1].coordinators(server)
}

// Share returns the part of a server's limit that this host may grant now, 0 if it is
// neither the coordinator nor the deputy.
func (r *Roster) Share(server string, now time.Duration) float64 {
	first, deputy := r.Coordinators(server)
	switch r.self {
	case "":
		return 0
	case first:
		if r.alone(server, now) {
			return 1
		}
		return deputyShare
	case deputy:
		return deputyShare
	}
	return 0
}

// alone reports whether no other host can still consider itself the coordinator of a server:
// the list is fresh, and this host has been the coordinator for the whole handover time.
func (r *Roster) alone(server string, now time.Duration) bool {
	if now-r.readAt > rosterMaxAge || now-r.lists[0].since <= handover {
		return false
	}
	for i, l := range r.lists {
		if i+1 < len(r.lists) && now-r.lists[i+1].since > handover {
			continue
		}
		if first, _ := l.coordinators(server); first != r.self {
			return false
		}
	}
	return true
}

// coordinators returns the two hosts with the highest scores for a server.
func (l *list) coordinators(server string) (first, second string) {
	var best, next uint64
	for _, h := range l.hosts {
		s := ring.Score(server, h)
		switch {
		case first == "" || s > best:
			second, next = first, best
			first, best = h, s
		case second == "" || s > next:
			second, next = h, s
		}
	}
	return first, second
}
