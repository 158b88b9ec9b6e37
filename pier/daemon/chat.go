package daemon

import (
	"context"
	"slices"

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
func (o *owners) chat(x context.Context, q *entryhost.ChatRequest, part func(*engine.Chunk) error) error {
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
	err = o.d.engines.Complete(x, v.Address, &c, func(k *engine.Chunk) error {
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

// chatHosts returns the hosts that own servers of a deployment which takes chat,
// in an order that differs from request to request.
func (d *Daemon) chatHosts(deployment, request string) ([]string, error) {
	s := d.notes.snapshot()
	p, ok := s.Deployment(deployment)
	if !ok || !p.Interactive {
		return nil, outcome.Refuse(outcome.ReasonUnknownName, "deployment/"+deployment)
	}
	c := d.members.candidates()
	var l []string
	s.EachOf(release.Key{Kind: release.KindDeployment, Name: deployment}, func(v release.Server) {
		id, ok := ring.Holder(ownerKey(v.Name), v.Region, c)
		if ok && !v.Leaving && !slices.Contains(l, id) {
			l = append(l, id)
		}
	})
	slices.SortFunc(l, func(a, b string) int {
		if ring.Score(request, a) > ring.Score(request, b) {
			return -1
		}
		return 1
	})
	if len(l) == 0 {
		return nil, outcome.Refuse(outcome.ReasonNoServer, "deployment/"+deployment)
	}
	return l, nil
}

// complete passes a caller's completion to an owner. An owner without room
// refuses it as not run, and the next one is asked.
func (d *Daemon) complete(x context.Context, q *entryhost.ChatRequest, part func(*engine.Chunk) error) error {
	l, err := d.chatHosts(q.Deployment, q.Completion.Stream)
	if err != nil {
		return err
	}
	for i, id := range l {
		m, ok := d.members.get(id)
		if !ok {
			continue
		}
		err = d.peers.Stream(x, m.Address, entryhost.Chat, q, nil, func(b []byte) error {
			var k engine.Chunk
			if err := peer.Decode(b, &k); err != nil {
				return err
			}
			return part(&k)
		})
		if err == nil || outcome.From(err).Outcome != outcome.NotRun || x.Err() != nil {
			return err
		}
		if i+1 < len(l) {
			d.metrics.retry("chat", err)
		}
	}
	return err
}
