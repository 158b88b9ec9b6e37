// Package member maintains the list of live entry hosts by gossip.
//
// Table is a pure state machine: it takes received heartbeats and the current time,
// and returns heartbeats to send and membership changes. Each host sends heartbeats
// to the members at the ring distances 1, 2, 4 and so on, so both the number of
// heartbeats per host and the number of hops to reach all hosts grow with the
// logarithm of the number of hosts. Joins, leaves, suspicions and incarnations
// travel as deltas on the heartbeats. The platform's host list is used only to
// discover hosts to contact.
package member

import (
	"net/netip"
	"time"
)

// State is the state of a member as one host knows it.
type State uint8

// The states of a member. At the same incarnation, a later state overrides an
// earlier one.
const (
	// Alive members respond and accept new work.
	Alive State = iota
	// Suspect members did not respond, but still count as members.
	Suspect
	// Leaving members respond, but accept no new work.
	Leaving
	// Dead members did not respond within the suspicion time.
	Dead
	// Left members have shut down gracefully.
	Left
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead", "left"}[s]
}

// Member is one entry host.
type Member struct {
	// ID is unique for each process start on a host.
	ID string `msgpack:"i" json:"id"`
	// Address is where the host listens for its peers.
	Address netip.AddrPort `msgpack:"a" json:"address"`
	// Region and Domain are the region and the failure domain of the host.
	Region string `msgpack:"r" json:"region"`
	Domain string `msgpack:"d" json:"failure-domain"`
	// Incarnation never decreases, and only the member itself increases it.
	Incarnation uint64 `msgpack:"n" json:"incarnation"`
	State       State  `msgpack:"s" json:"-"`
}

// newer reports whether the information in a overrides that in b.
func (a *Member) newer(b *Member) bool {
	return a.Incarnation > b.Incarnation || a.Incarnation == b.Incarnation && a.State > b.State
}

// Heartbeat is the message that members exchange. The answer to a heartbeat is
// another one with Answer set.
type Heartbeat struct {
	From   string `msgpack:"f"`
	Answer bool   `msgpack:"a"`
	// Deltas are membership updates that the receiver may not have yet.
	Deltas []Member `msgpack:"d"`
	// Offset is the sender's next offset in the release stream.
	Offset int64 `msgpack:"o"`
	// Checksum covers the members that the sender does not know as dead or left, with
	// their states and incarnations. A difference reveals missed updates.
	Checksum uint64 `msgpack:"s"`
	// Full requests the full member list from the receiver.
	Full bool `msgpack:"l"`
}

// Config configures a Table.
type Config struct {
	// Self is this host. Its incarnation must be higher than that of the previous
	// process on this host.
	Self Member
	// Interval is the time between heartbeats to one neighbour.
	Interval time.Duration
	// Timeout is how long to wait for the answer to a heartbeat before the member
	// is probed over a new connection.
	Timeout time.Duration
	// ProbeTimeout is how long to wait for the answer to that probe.
	ProbeTimeout time.Duration
	// Suspicion is how long a suspect member has to refute the suspicion before it
	// counts as dead.
	Suspicion time.Duration
	// DeadRetention is how long dead members, and those that have left, are
	// remembered; dead ones are retried during that time.
	DeadRetention time.Duration
	// Seed seeds the random choice of the dead members to retry, so that
	// simulations are reproducible.
	Seed uint64
}

// WithDefaults returns a copy of c in which zero durations are replaced by default
// values.
func (c Config) WithDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.Interval, 500*time.Millisecond)
	set(&c.Timeout, 400*time.Millisecond)
	set(&c.ProbeTimeout, 300*time.Millisecond)
	set(&c.Suspicion, 500*time.Millisecond)
	set(&c.DeadRetention, 30*time.Minute)
	return c
}

// Send asks the caller to send a heartbeat.
type Send struct {
	To Member
	Heartbeat
	// NewConnection requests a new connection, since an existing one may be unresponsive.
	NewConnection bool
}

// Change reports that the state of a member changed.
type Change struct {
	Member
	Previous State
	// New reports that the member was not known before.
	New bool
}

// Output holds what the caller has to do after a call to the table: send heartbeats
// and handle changes of members.
type Output struct {
	Sends   []Send
	Changes []Change
}
