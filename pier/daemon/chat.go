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

// chatPriority is the engine priority of interactive completions.
const chatPriority = 8

// runChat runs an interactive completion on an owned server of the deployment and
// passes its chunks to emit. It cancels the completion on the engine if the stream
// fails, has a gap or ends short.
func (o *owners) runChat(ctx context.Context, q *entryhost.ChatRequest, emit func(*engine.Chunk) error) error {
	c := q.Completion
	c.Driver = o.d.id
	c.Priority = chatPriority
	o.mu.Lock()
	n, err := o.table.PickInteractive(q.Deployment)
	if err == nil {
		err = o.table.Start(n, c.Stream, owner.Interactive)
	}
	v, _ := o.table.Get(n)
	o.mu.Unlock()
	if err != nil {
		return o.d.metrics.refuse("chat", err)
	}
	defer o.endChat(n, c.Stream)
	nextToken := 0
	err = o.d.engines.Complete(ctx, v.Address, &c, func(k *engine.Chunk) error {
		if k.First != nextToken && k.End > k.First {
			return outcome.Ambiguous(outcome.ReasonTokenGap, c.Stream, nil)
		}
		nextToken = max(nextToken, k.End)
		if k.Finish != "" && k.Total != nextToken {
			return outcome.Ambiguous(outcome.ReasonShortAnswer, c.Stream, nil)
		}
		o.d.metrics.chunks.Inc()
		o.d.metrics.tokens.Add(float64(k.End - k.First))
		return emit(k)
	})
	if err != nil {
		o.cancelOnServer(n, c.Stream)
	}
	return err
}

// endChat frees the capacity that a completion occupied on its server.
func (o *owners) endChat(server, stream string) {
	o.mu.Lock()
	o.table.End(server, stream)
	o.mu.Unlock()
	o.triggerOffer()
}

// chatPool holds the hosts that own servers of one deployment.
type chatPool struct {
	// express lists the hosts that own at least one express server, others the
	// rest.
	express, others []string
}

// chatPools caches the pools for one configuration snapshot and one list of
// members. Both are immutable and replaced as a whole, so comparing their addresses
// is enough to detect a change.
type chatPools struct {
	mu          sync.Mutex
	snapshot    *config.Snapshot
	firstMember *ring.Candidate
	pools       map[string]*chatPool
}

// pool returns the pool of a deployment and computes it if it is not cached.
func (p *chatPools) pool(s *config.Snapshot, c []ring.Candidate, deployment string) *chatPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first *ring.Candidate
	if len(c) > 0 {
		first = &c[0]
	}
	if p.snapshot != s || p.firstMember != first {
		p.snapshot, p.firstMember, p.pools = s, first, make(map[string]*chatPool)
	}
	if p.pools[deployment] == nil {
		p.pools[deployment] = newChatPool(s, c, deployment)
	}
	return p.pools[deployment]
}

// newChatPool derives the pool of a deployment. Leaving servers are excluded.
func newChatPool(s *config.Snapshot, c []ring.Candidate, deployment string) *chatPool {
	express := expressServers(s)
	ownsExpress := make(map[string]bool)
	s.EachServerIn(release.Key{Kind: release.KindDeployment, Name: deployment}, func(v release.Server) {
		id, ok := ring.Holder(ownerKey(v.Name), v.Region, c)
		if ok && !v.Leaving {
			ownsExpress[id] = ownsExpress[id] || express[v.Name] > 0
		}
	})
	p := &chatPool{}
	for _, id := range slices.Sorted(maps.Keys(ownsExpress)) {
		if ownsExpress[id] {
			p.express = append(p.express, id)
			continue
		}
		p.others = append(p.others, id)
	}
	return p
}

// chatHosts returns the hosts that own servers of an interactive deployment: owners
// of express servers first, and within each part in random order.
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

// shuffled returns a copy of l in random order.
func shuffled(l []string) []string {
	r := slices.Clone(l)
	rand.Shuffle(len(r), func(i, j int) { r[i], r[j] = r[j], r[i] })
	return r
}

// complete forwards an interactive completion to an owner of a server of the
// deployment. An owner without a free slot refuses it with the outcome not-run, and
// the next owner is tried.
func (d *Daemon) complete(ctx context.Context, q *entryhost.ChatRequest, emit func(*engine.Chunk) error) error {
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
			return emit(&k)
		})
		if err == nil || outcome.AsError(err).Outcome != outcome.NotRun || ctx.Err() != nil {
			return err
		}
		if i+1 < len(l) {
			d.metrics.retry("chat", err)
		}
	}
	return err
}
