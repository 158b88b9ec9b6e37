package cluster

import (
	"context"
	"fmt"
	"time"

	"mulberrypier.example/pier/operator"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

// OperatorClient returns an operator's client of the first running host.
func (k *Cluster) OperatorClient() *operator.Client {
	return operator.New(operator.ClientConfig{Address: k.Up()[0].Settings.Listen.Operators})
}

// Note returns the initial release note. It adds a deployment with all engines, the
// trainers, and the plain service "registry".
func (k *Cluster) Note() *release.Note {
	n := &release.Note{ID: "first", Text: "all engines, trainers and services"}
	a := &n.Added
	a.Deployments = []release.Deployment{{Name: "ledger", IdleWeight: 0.5, Interactive: true}}
	for i, e := range k.Engines {
		a.Servers = append(a.Servers, release.Server{
			Name: fmt.Sprintf("engine-%d", i), Address: e.Address(), Deployment: "ledger",
			Region: "north", Domain: k.domain(i), Capacity: k.c.Capacity, ChecksFence: i%2 == 0,
		})
	}
	for i, s := range k.Services {
		a.Servers = append(a.Servers, release.Server{
			Name: fmt.Sprintf("registry-%d", i), Address: s.Address(), Service: "registry",
			Region: "north", Domain: k.domain(i), Capacity: 64,
		})
	}
	a.Services = []release.Service{{
		Name:    "registry",
		Calls:   []release.CallRule{{Method: "GET", Prefix: "/", Idempotent: true}, {Prefix: "/lookup", Idempotent: true}},
		Timeout: release.Duration(10 * time.Second),
	}}
	for _, t := range k.c.Trainers {
		a.Trainers = append(a.Trainers, release.Trainer{
			Name: t, Deployment: "ledger", StalenessBound: k.c.Bound, Scorer: k.Scorer.Address(), Region: "north",
		})
	}
	return n
}

// publishInitialNote publishes the initial release note once every host knows all
// others.
func (k *Cluster) publishInitialNote(ctx context.Context) error {
	if err := k.WaitForMembers(ctx, len(k.Up())); err != nil {
		return err
	}
	_, err := k.Publish(ctx, k.Note())
	return err
}

// WaitForMembers waits until every running host counts n live members, or until the
// context ends.
func (k *Cluster) WaitForMembers(ctx context.Context, n int) error {
	for {
		ok := true
		for _, h := range k.Up() {
			ok = ok && LiveMembers(ctx, h) == n
		}
		if ok {
			return nil
		}
		select {
		case <-ctx.Done():
			return outcome.Refuse(outcome.ReasonDeadline, fmt.Sprintf("hosts do not all know %d members", n))
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// LiveMembers returns the number of members that a host counts as live, itself included, or
// -1 if the host does not answer.
func LiveMembers(ctx context.Context, h *Host) int {
	c := operator.New(operator.ClientConfig{Address: h.Settings.Listen.Operators})
	a, err := c.HostStatus(ctx)
	if err != nil {
		return -1
	}
	return a.Hosts[0].Members
}

// Publish publishes a release note through a running host and waits for its outcome.
func (k *Cluster) Publish(ctx context.Context, n *release.Note) (*operator.Published, error) {
	b, err := n.TOML()
	if err != nil {
		return nil, err
	}
	return k.OperatorClient().Publish(ctx, b, false)
}
