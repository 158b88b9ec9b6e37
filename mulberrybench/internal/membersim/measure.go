package membersim

import (
	"time"

	"mulberrypier.example/pier/member"
)

// partedMost is the greatest number of hosts for which parted regions are run, as
// that takes long.
const partedMost = 100

// Row is what membership costs at one number of hosts.
type Row struct {
	Hosts int
	// Bytes and Messages are sent by a host in a second with nothing going on;
	// Churn is the bytes while a host is replaced every ten seconds.
	Bytes, Messages, Churn float64
	// Death, Silent, Leave and Join are the times until all hosts know.
	Death, Silent, Leave, Join time.Duration
	// Rejoin is the time until parted regions agree again.
	Rejoin time.Duration
}

// Measure runs membership at a number of hosts.
func Measure(hosts int, seed uint64) Row {
	c := Config{Hosts: hosts, Hop: 500 * time.Microsecond, Far: 20 * time.Millisecond, Seed: seed}
	w := Row{Hosts: hosts}
	r := New(c)
	r.For(5 * time.Second)
	r.Clear()
	r.For(20 * time.Second)
	w.Bytes, w.Messages = r.Traffic(20 * time.Second)

	dead := r.Hosts[hosts/2]
	dead.Up = false
	w.Death, _ = r.Until(time.Minute, func() bool { return r.Agree(dead.ID, member.Dead) })
	silent := r.Hosts[hosts/3]
	silent.Paused = true
	w.Silent, _ = r.Until(time.Minute, func() bool { return r.Agree(silent.ID, member.Dead) })
	silent.Up = false
	leaving := r.Hosts[hosts/4]
	r.Leave(leaving, member.Leaving)
	w.Leave, _ = r.Until(time.Minute, func() bool { return r.Agree(leaving.ID, member.Leaving) })
	leaving.Up = false
	r.For(10 * time.Second)
	r.Join("new", 1, r.Hosts[0])
	w.Join, _ = r.Until(time.Minute, func() bool { return r.Agree("new", member.Alive) })

	r.Clear()
	for i := range 3 {
		h := r.Hosts[1+i]
		h.Up = false
		r.Join(h.ID+"-again", h.Region, r.Hosts[0])
		r.For(10 * time.Second)
	}
	w.Churn, _ = r.Traffic(30 * time.Second)
	if hosts < 2*regions || hosts > partedMost {
		return w
	}
	for i := 1; i < regions; i++ {
		r.Part(0, i, true)
	}
	r.For(2 * time.Minute)
	for i := 1; i < regions; i++ {
		r.Part(0, i, false)
	}
	w.Rejoin, _ = r.Until(5*time.Minute, r.Settled)
	return w
}
