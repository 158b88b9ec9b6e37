package daemon

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"mulberrypier.example/pier/config"
	"mulberrypier.example/pier/engine"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/owner"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/release"
	"mulberrypier.example/pier/ring"
)

// chatPriority is the engine priority of a caller's completion.
const chatPriority = 8

// chat runs a caller's completion on an owned server of the deployment, and
// passes on its chunks.
func (o *owners) chat(ctx context.Context, q *entryhost.ChatRequest, part func(*engine.Chunk) error) error {
	c := q.Completion
	c.Driver = o.d.id
	c.Priority = chatPriority
	o.mu.Lock()
	n, err := o.table.Pick(q.Deployment)
	if err == nil {
		err = o.table.Start(n, c.Stream, owner.Interactive)
	}
	v, _ := o.table.Get(n)
	o.mu.Unlock()
	if err != nil {
		return o.d.metrics.refuse("chat", err)
	}
	defer o.endChat(n, c.Stream)
	next := 0
	err = o.d.engines.Complete(ctx, v.Address, &c, func(k *engine.Chunk) error {
		if k.First != next && k.End > k.First {
			return outcome.Lost(outcome.ReasonTokenGap, c.Stream, nil)
		}
		next = max(next, k.End)
		if k.Finish != "" && k.Total != next {
			return outcome.Lost(outcome.ReasonShortAnswer, c.Stream, nil)
		}
		o.d.metrics.chunks.Inc()
		o.d.metrics.tokens.Add(float64(k.End - k.First))
		return part(k)
	})
	if err != nil {
		o.cancelAt(n, c.Stream)
	}
	return err
}

func (o *owners) endChat(server, stream string) {
	o.mu.Lock()
	o.table.End(server, stream)
	o.mu.Unlock()
	o.poke()
}

// chatPool holds the hosts that own servers of one deployment.
type chatPool struct {
	// express lists the hosts that own express servers, others the rest.
	express, others []string
}

// chatPools remembers the pools of one configuration and one list of members:
// both are replaced and never changed, so their identity tells when to look anew.
type chatPools struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	members  *ring.Candidate
	pools    map[string]*chatPool
}

// pool returns the pool of a deployment.
func (p *chatPools) pool(s *config.Snapshot, c []ring.Candidate, deployment string) *chatPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first *ring.Candidate
	if len(c) > 0 {
		first = &c[0]
	}
	if p.snapshot != s || p.members != first {
		p.snapshot, p.members, p.pools = s, first, make(map[string]*chatPool)
	}
	if p.pools[deployment] == nil {
		p.pools[deployment] = newChatPool(s, c, deployment)
	}
	return p.pools[deployment]
}

func newChatPool(s *config.Snapshot, c []ring.Candidate, deployment string) *chatPool {
	express := expressOf(s)
	fast := make(map[string]bool)
	s.EachOf(release.Key{Kind: release.KindDeployment, Name: deployment}, func(v release.Server) {
		id, ok := ring.Holder(ownerKey(v.Name), v.Region, c)
		if ok && !v.Leaving {
			fast[id] = fast[id] || express[v.Name] > 0
		}
	})
	p := &chatPool{}
	for _, id := range slices.Sorted(maps.Keys(fast)) {
		if fast[id] {
			p.express = append(p.express, id)
			continue
		}
		p.others = append(p.others, id)
	}
	return p
}

// chatHosts returns the hosts that own servers of a deployment which takes chat,
// those with express servers first, otherwise in a random order.
func (d *Daemon) chatHosts(deployment string) ([]string, error) {
	s := d.notes.snapshot()
	p, ok := s.Deployment(deployment)
	if !ok || !p.Interactive {
		return nil, outcome.Refuse(outcome.ReasonUnknownName, "deployment/"+deployment)
	}
	k := d.chats.pool(s, d.members.candidates(), deployment)
	l := append(shuffled(k.express), shuffled(k.others)...)
	if len(l) == 0 {
		return nil, outcome.Refuse(outcome.ReasonNoServer, "deployment/"+deployment)
	}
	return l, nil
}

// shuffled returns a copy of l in a random order.
func shuffled(l []string) []string {
	r := slices.Clone(l)
	rand.Shuffle(len(r), func(i, j int) { r[i], r[j] = r[j], r[i] })
	return r
}

// complete passes a caller's completion to an owner. An owner without room
// refuses it as not run, and the next one is asked.
func (d *Daemon) complete(ctx context.Context, q *entryhost.ChatRequest, part func(*engine.Chunk) error) error {
	l, err := d.chatHosts(q.Deployment)
	if err != nil {
		return err
	}
	for i, id := range l {
		m, ok := d.members.get(id)
		if !ok {
			continue
		}
		err = d.peers.Stream(ctx, m.Address, entryhost.Chat, q, nil, func(b []byte) error {
			var k engine.Chunk
			if err := peer.Decode(b, &k); err != nil {
				return err
			}
			return part(&k)
		})
		if err == nil || outcome.From(err).Outcome != outcome.NotRun || ctx.Err() != nil {
			return err
		}
		if i+1 < len(l) {
			d.metrics.retry("chat", err)
		}
	}
	return err
}
