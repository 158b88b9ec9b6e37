package experiment

import (
	"mulberrypier.example/pier/owner"
	"mulberrypier.example/pier/rollout"
)

// scheduleAssign schedules assignWork after one round trip, unless it is scheduled already.
func (r *run) scheduleAssign() {
	if r.assignScheduled {
		return
	}
	r.assignScheduled = true
	r.after(2*r.c.HopLatency.D(), func() {
		r.assignScheduled = false
		r.assignWork()
	})
}

// assignWork offers the free slots of all engines to the trainers in turn, as the owners
// of the service do.
func (r *run) assignWork() {
	if r.p.Placement != LateBinding {
		r.pushAll()
		return
	}
	for _, t := range r.trainerOrder() {
		o := r.table.Offers(r.now, "d", t.c.Name)
		for i := range o {
			o[i].Version = max(1, o[i].Version)
		}
		for _, p := range t.steps {
			w := p.Assign(r.now, "host", o)
			for i := range w {
				for j := range o {
					if o[j].Server == w[i].Server {
						o[j].FreeSlots--
					}
				}
				r.startStream(w[i])
			}
			r.executeCancels(p.Moves(r.now, o))
		}
	}
}

// trainerOrder returns the trainers in the order in which the policy offers them free
// slots.
func (r *run) trainerOrder() []*trainerState {
	n := make(map[string]int)
	for _, w := range r.assigned {
		n[w.Key.Trainer]++
	}
	var q []owner.TrainerLoad
	for _, t := range r.trainers {
		q = append(q, owner.TrainerLoad{
			Trainer: t.c.Name, Share: t.share(), Running: n[t.c.Name], Unsealed: t.unfinished(), PendingSince: t.pendingSince(),
		})
	}
	owner.SortTrainers(q, r.p.Rule)
	var l []*trainerState
	for _, x := range q {
		l = append(l, r.trainer(x.Trainer))
	}
	return l
}

// pushAll assigns all pending samples at once, as the baselines do.
func (r *run) pushAll() {
	for _, t := range r.trainers {
		for _, p := range t.steps {
			for p.Counts().Pending > 0 {
				s := r.pushTarget()
				if s == nil {
					return
				}
				v := rollout.Version(max(1, s.report.Versions[t.c.Name]))
				w := p.Assign(r.now, "host", []rollout.Offer{{Server: s.name, FreeSlots: 1, Version: v, SecondsToLoad: -1}})
				if len(w) == 0 {
					break
				}
				s.pushed++
				r.startStream(w[0])
			}
		}
	}
}

// pushTarget returns the engine that a baseline pushes the next sample to, or nil if all
// engines are down.
func (r *run) pushTarget() *server {
	var best *server
	switch r.p.Placement {
	case RoundRobin:
		for range r.servers {
			r.roundRobinIndex++
			if s := r.servers[r.roundRobinIndex%len(r.servers)]; !s.down {
				return s
			}
		}
	default:
		for _, s := range r.servers {
			if !s.down && (best == nil || s.estimatedStreams() < best.estimatedStreams()) {
				best = s
			}
		}
	}
	return best
}
