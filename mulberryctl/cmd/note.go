package cmd

import (
	"fmt"
	"io"
	"os"
	"time"

	"mulberrypier.example/pier/config"
	"mulberrypier.example/pier/operator"
	"mulberrypier.example/pier/release"
)

// noteCmd groups the subcommands on release notes.
type noteCmd struct {
	Check   noteCheckCmd   `cmd:"" help:"Check a note against the configuration in force; nothing is published."`
	Publish notePublishCmd `cmd:"" help:"Publish a note and wait until it is in force on all hosts."`
	Show    noteShowCmd    `cmd:"" help:"Show what was decided on a note, or the configuration in force."`
	History noteHistoryCmd `cmd:"" help:"List the newest notes."`
	Diff    noteDiffCmd    `cmd:"" help:"Show what a note would change."`
}

type noteCheckCmd struct {
	File string `arg:"" help:"Release note, in TOML."`
}

// Run checks a note.
func (c *noteCheckCmd) Run(g *globals) error { return sendNote(g, c.File, true) }

type notePublishCmd struct {
	File string `arg:"" help:"Release note, in TOML."`
}

// Run publishes a note.
func (c *notePublishCmd) Run(g *globals) error { return sendNote(g, c.File, false) }

func sendNote(g *globals, file string, check bool) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if _, err := release.Parse(b); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	c, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	a, err := c.Publish(ctx, b, check)
	if err != nil {
		return err
	}
	if a.Verdict.Err != nil {
		return &rejected{a.Verdict.Err}
	}
	return g.print(a, func(w io.Writer) { published(w, a) })
}

func published(w io.Writer, a *operator.Published) {
	_, _ = fmt.Fprintf(w, "NOTE\tREVISION\tSTATE\tHOSTS\tIN FORCE\tTOOK\n%s\t%d\t%s\t%d\t%d\t%v\n",
		a.Verdict.ID, a.Verdict.Revision, a.State, a.Hosts, a.InForce, a.Took.Round(time.Millisecond))
	for _, h := range a.Behind {
		_, _ = fmt.Fprintf(w, "behind: %s\n", h)
	}
}

type noteShowCmd struct {
	ID string `arg:"" optional:"" help:"Id of a note; without one the configuration in force is shown."`
}

// Run shows a verdict or the configuration.
func (c *noteShowCmd) Run(g *globals) error {
	k, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	if c.ID != "" {
		v, err := k.Note(ctx, c.ID)
		if err != nil {
			return err
		}
		return g.print(v, func(w io.Writer) { verdicts(w, []config.Verdict{*v}) })
	}
	a, err := k.Config(ctx)
	if err != nil {
		return err
	}
	return g.print(a, func(w io.Writer) { entries(w, a) })
}

func verdicts(w io.Writer, l []config.Verdict) {
	_, _ = fmt.Fprintln(w, "REVISION\tNOTE\tVERDICT")
	for _, v := range l {
		s := "accepted"
		if v.Err != nil {
			s = "rejected: " + v.Err.Error()
		}
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\n", v.Revision, v.ID, s)
	}
}

func entries(w io.Writer, a *operator.Config) {
	_, _ = fmt.Fprintf(w, "revision %d\n\nKIND\tNAME\tDETAIL\n", a.Revision)
	for _, d := range a.Entries.Deployments {
		_, _ = fmt.Fprintf(w, "deployment\t%s\tidle-weight %.2f\n", d.Name, d.IdleWeight)
	}
	for _, s := range a.Entries.Services {
		_, _ = fmt.Fprintf(w, "service\t%s\t%d call rules\n", s.Name, len(s.Calls))
	}
	for i := range a.Entries.Servers {
		s := &a.Entries.Servers[i]
		_, _ = fmt.Fprintf(w, "server\t%s\t%v of %s, %s\n", s.Name, s.Address, config.PoolOf(s), s.Domain)
	}
	for _, t := range a.Entries.Trainers {
		_, _ = fmt.Fprintf(w, "trainer\t%s\ton %s, staleness at most %d\n", t.Name, t.Deployment, t.StalenessBound)
	}
}

type noteHistoryCmd struct{}

// Run lists the newest notes.
func (c *noteHistoryCmd) Run(g *globals) error {
	k, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	a, err := k.Notes(ctx)
	if err != nil {
		return err
	}
	return g.print(a, func(w io.Writer) { verdicts(w, a.Verdicts) })
}

type noteDiffCmd struct {
	File string `arg:"" help:"Release note, in TOML."`
}

// change is one line of a diff.
type change struct {
	Kind string      `json:"change"`
	Key  release.Key `json:"entry"`
	Was  any         `json:"was,omitempty"`
	Is   any         `json:"is,omitempty"`
}

// Run shows what a note would change.
func (c *noteDiffCmd) Run(g *globals) error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	n, err := release.Parse(b)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	k, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	a, err := k.Config(ctx)
	if err != nil {
		return err
	}
	l := diff(a, n)
	return g.print(l, func(w io.Writer) {
		for _, d := range l {
			_, _ = fmt.Fprintf(w, "%s\t%s\n", d.Kind, d.Key)
			if d.Was != nil && d.Kind == "changed" {
				_, _ = fmt.Fprintf(w, "\twas\t%+v\n", d.Was)
			}
			if d.Is != nil {
				_, _ = fmt.Fprintf(w, "\tis\t%+v\n", d.Is)
			}
		}
	})
}

// diff lists the entries that a note touches, with what they are now.
func diff(a *operator.Config, n *release.Note) []change {
	was := index(&a.Entries)
	var l []change
	for k, v := range ordered(&n.Added) {
		l = append(l, change{Kind: "added", Key: k, Is: v})
	}
	for k, v := range ordered(&n.Changed) {
		l = append(l, change{Kind: "changed", Key: k, Was: was[k], Is: v})
	}
	for _, k := range n.Withdrawn {
		l = append(l, change{Kind: "withdrawn", Key: k, Was: was[k]})
	}
	return l
}

func index(e *release.Entries) map[release.Key]any {
	m := make(map[release.Key]any)
	for k, v := range ordered(e) {
		m[k] = v
	}
	return m
}

// ordered yields the entries with their keys.
func ordered(e *release.Entries) func(func(release.Key, any) bool) {
	return func(f func(release.Key, any) bool) {
		k := e.Keys()
		i := 0
		each := func(v any) bool {
			i++
			return f(k[i-1], v)
		}
		for _, v := range e.Deployments {
			if !each(v) {
				return
			}
		}
		for _, v := range e.Services {
			if !each(v) {
				return
			}
		}
		for _, v := range e.Servers {
			if !each(v) {
				return
			}
		}
		for _, v := range e.Trainers {
			if !each(v) {
				return
			}
		}
	}
}
