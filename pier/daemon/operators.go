package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/kataras/iris/v12"

	"mulberrypier.example/pier/config"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/member"
	"mulberrypier.example/pier/operator"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

// maxHistory is the maximum number of decisions in one answer.
const maxHistory = 1000

// publishNote publishes a release note, or only checks it if the URL has the
// parameter check.
func (d *Daemon) publishNote(c iris.Context, _ string) error {
	b, err := readBody(c)
	if err != nil {
		return err
	}
	n, err := release.Parse(b)
	if err != nil {
		return err
	}
	if c.URLParamExists("check") {
		return d.checkNote(c, n)
	}
	p, err := d.notes.publish(c.Request().Context(), n)
	if err != nil {
		return err
	}
	a := operator.Published{
		State: string(p.State), Decision: p.Decision, Hosts: p.Hosts, InForce: p.InForce, Behind: p.Behind,
		Took: p.Duration,
	}
	if p.Decision.Err != nil {
		c.StatusCode(http.StatusConflict)
	}
	return respondJSON(c, &a)
}

// checkNote answers whether a note would be accepted now, without publishing it.
func (d *Daemon) checkNote(c iris.Context, n *release.Note) error {
	s := d.notes.snapshot()
	_, v := s.Apply(s.Next(), n)
	if v.Err != nil {
		c.StatusCode(http.StatusConflict)
	}
	return respondJSON(c, &operator.Published{State: "checked", Decision: v})
}

// listNotes returns the newest decisions.
func (d *Daemon) listNotes(c iris.Context, _ string) error {
	n := min(c.URLParamIntDefault("max", 50), maxHistory)
	s := d.notes.snapshot()
	return respondJSON(c, &operator.History{Revision: s.Revision(), Decisions: s.History(n)})
}

// showNote returns the decision on one note.
func (d *Daemon) showNote(c iris.Context, _ string) error {
	v, ok := d.notes.snapshot().Decision(c.Params().Get("id"))
	if !ok {
		return outcome.Refuse(outcome.ReasonUnknownName, "note/"+c.Params().Get("id"))
	}
	return respondJSON(c, &v)
}

// showConfig returns the configuration in force.
func (d *Daemon) showConfig(c iris.Context, _ string) error {
	return respondJSON(c, configAnswer(d.notes.snapshot()))
}

// configAnswer returns all entries of a configuration snapshot.
func configAnswer(s *config.Snapshot) *operator.Config {
	a := &operator.Config{Revision: s.Revision(), Next: s.Next()}
	e := &a.Entries
	s.EachDeployment(func(x release.Deployment) { e.Deployments = append(e.Deployments, x) })
	s.EachService(func(x release.Service) { e.Services = append(e.Services, x) })
	s.EachServer(func(x release.Server) { e.Servers = append(e.Servers, x) })
	s.EachTrainer(func(x release.Trainer) { e.Trainers = append(e.Trainers, x) })
	return a
}

// showStatus returns the status of all hosts, or of this host alone if the URL has
// the parameter self.
func (d *Daemon) showStatus(c iris.Context, _ string) error {
	if c.URLParamExists("self") {
		return respondJSON(c, &operator.Status{Hosts: []entryhost.StatusAnswer{*d.status()}})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), 2*time.Second)
	defer cancel()
	l := d.members.all()
	a := &operator.Status{Hosts: make([]entryhost.StatusAnswer, len(l))}
	var wg sync.WaitGroup
	for i, m := range l {
		wg.Go(func() { a.Hosts[i] = d.hostStatus(ctx, m) })
	}
	wg.Wait()
	return respondJSON(c, a)
}

// hostStatus returns the status of one host. If the host cannot be asked, the
// answer holds the error or only the member state.
func (d *Daemon) hostStatus(ctx context.Context, m member.Member) entryhost.StatusAnswer {
	if m.ID == d.id {
		return *d.status()
	}
	a := entryhost.StatusAnswer{Self: m, State: m.State.String()}
	if m.State >= member.Dead {
		return a
	}
	var r entryhost.StatusAnswer
	if err := d.call(ctx, m.ID, entryhost.Status, struct{}{}, &r); err != nil {
		a.Err = outcome.AsError(err)
		return a
	}
	r.State = m.State.String()
	return r
}

// startDrain starts the graceful shutdown of this host and returns at once.
func (d *Daemon) startDrain(c iris.Context, _ string) error {
	go d.Drain(context.WithoutCancel(d.ctx))
	c.StatusCode(http.StatusAccepted)
	return respondJSON(c, &operator.Drain{State: string(d.drain.state.State())})
}
