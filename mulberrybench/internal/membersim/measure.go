package membersim

import (
	"time"

	"mulberrypier.example/pier/member"
)

// maxPartitionHosts is the greatest number of hosts at which a network partition between
// regions is simulated; with more it takes too long.
const maxPartitionHosts = 100

// Result holds the costs and delays of membership at one number of hosts.
type Result struct {
	Hosts int
	// IdleBytes and IdleMessages are the mean traffic that a host sends per second while
	// membership does not change. ChurnBytes is the same in bytes while a host is
	// replaced every ten seconds.
	IdleBytes, IdleMessages, ChurnBytes float64
	// Death, Unresponsive, Leave and Join are the times until all hosts know that a
	// process crashed, that a host became unresponsive, that a host leaves and that a host
	// joined.
	Death, Unresponsive, Leave, Join time.Duration
	// PartitionHeal is the time after a network partition until all hosts agree on the
	// members again. It is 0 if no partition was simulated.
	PartitionHeal time.Duration
}

// Measure simulates membership at the given number of hosts. The partition, which cuts
// region 0 off from all others for two minutes, is simulated only if each region has
// two hosts or more and there are no more than maxPartitionHosts.
func Measure(hosts int, seed uint64) Result {
	c := Config{Hosts: hosts, IntraRegionDelay: 500 * time.Microsecond, InterRegionDelay: 20 * time.Millisecond, Seed: seed}
	w := Result{Hosts: hosts}
	r := New(c)
	r.RunFor(5 * time.Second)
	r.ResetTraffic()
	r.RunFor(20 * time.Second)
	w.IdleBytes, w.IdleMessages = r.Traffic(20 * time.Second)

	dead := r.Hosts[hosts/2]
	dead.Up = false
	w.Death, _ = r.RunUntil(time.Minute, func() bool { return r.AllSee(dead.ID, member.Dead) })
	unresponsive := r.Hosts[hosts/3]
	unresponsive.Paused = true
	w.Unresponsive, _ = r.RunUntil(time.Minute, func() bool { return r.AllSee(unresponsive.ID, member.Dead) })
	unresponsive.Up = false
	leaving := r.Hosts[hosts/4]
	r.Leave(leaving, member.Leaving)
	w.Leave, _ = r.RunUntil(time.Minute, func() bool { return r.AllSee(leaving.ID, member.Leaving) })
	leaving.Up = false
	r.RunFor(10 * time.Second)
	r.Join("new", 1, r.Hosts[0])
	w.Join, _ = r.RunUntil(time.Minute, func() bool { return r.AllSee("new", member.Alive) })

	r.ResetTraffic()
	for i := range 3 {
		h := r.Hosts[1+i]
		h.Up = false
		r.Join(h.ID+"-again", h.Region, r.Hosts[0])
		r.RunFor(10 * time.Second)
	}
	w.ChurnBytes, _ = r.Traffic(30 * time.Second)
	if hosts < 2*regions || hosts > maxPartitionHosts {
		return w
	}
	for i := 1; i < regions; i++ {
		r.SetPartitioned(0, i, true)
	}
	r.RunFor(2 * time.Minute)
	for i := 1; i < regions; i++ {
		r.SetPartitioned(0, i, false)
	}
	w.PartitionHeal, _ = r.RunUntil(5*time.Minute, r.Converged)
	return w
}
