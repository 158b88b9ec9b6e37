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

// Run checks the note without publishing it.
func (c *noteCheckCmd) Run(g *globals) error { return submitNote(g, c.File, true) }

type notePublishCmd struct {
	File string `arg:"" help:"Release note, in TOML."`
}

// Run publishes the note and waits until it is in force on all hosts.
func (c *notePublishCmd) Run(g *globals) error { return submitNote(g, c.File, false) }

// submitNote sends a release note to the host to be published, or only to be checked,
// and prints the answer. The note is parsed first, so that a malformed one is never
// sent. The error is a *rejectedError if the host rejects the note.
func submitNote(g *globals, file string, check bool) error {
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
	if a.Decision.Err != nil {
		return &rejectedError{a.Decision.Err}
	}
	return g.print(a, func(w io.Writer) { printPublished(w, a) })
}

// printPublished prints the answer to a published or checked note.
func printPublished(w io.Writer, a *operator.Published) {
	_, _ = fmt.Fprintf(w, "NOTE\tREVISION\tSTATE\tHOSTS\tIN FORCE\tTOOK\n%s\t%d\t%s\t%d\t%d\t%v\n",
		a.Decision.ID, a.Decision.Revision, a.State, a.Hosts, a.InForce, a.Took.Round(time.Millisecond))
	for _, h := range a.Behind {
		_, _ = fmt.Fprintf(w, "behind: %s\n", h)
	}
}

type noteShowCmd struct {
	ID string `arg:"" optional:"" help:"Id of a note; without one the configuration in force is shown."`
}

// Run prints the decision on the note with the given id, or the configuration in force.
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
		return g.print(v, func(w io.Writer) { printDecisions(w, []config.Decision{*v}) })
	}
	a, err := k.Config(ctx)
	if err != nil {
		return err
	}
	return g.print(a, func(w io.Writer) { printConfig(w, a) })
}

// printDecisions prints one row per note.
func printDecisions(w io.Writer, l []config.Decision) {
	_, _ = fmt.Fprintln(w, "REVISION\tNOTE\tVERDICT")
	for _, v := range l {
		s := "accepted"
		if v.Err != nil {
			s = "rejected: " + v.Err.Error()
		}
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\n", v.Revision, v.ID, s)
	}
}

// printConfig prints one row per entry of the configuration in force.
func printConfig(w io.Writer, a *operator.Config) {
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

// Run prints the decisions on the newest notes.
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
	return g.print(a, func(w io.Writer) { printDecisions(w, a.Decisions) })
}

type noteDiffCmd struct {
	File string `arg:"" help:"Release note, in TOML."`
}

// entryChange is an entry that a note adds, changes or withdraws, with its present value
// in Was and its new value in Is.
type entryChange struct {
	Kind string      `json:"change"`
	Key  release.Key `json:"entry"`
	Was  any         `json:"was,omitempty"`
	Is   any         `json:"is,omitempty"`
}

// Run prints how the note would change the configuration in force.
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
	l := diffNote(a, n)
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

// diffNote returns the changes that note n makes to configuration a.
func diffNote(a *operator.Config, n *release.Note) []entryChange {
	was := entriesByKey(&a.Entries)
	var l []entryChange
	for k, v := range keyedEntries(&n.Added) {
		l = append(l, entryChange{Kind: "added", Key: k, Is: v})
	}
	for k, v := range keyedEntries(&n.Changed) {
		l = append(l, entryChange{Kind: "changed", Key: k, Was: was[k], Is: v})
	}
	for _, k := range n.Withdrawn {
		l = append(l, entryChange{Kind: "withdrawn", Key: k, Was: was[k]})
	}
	return l
}

// entriesByKey returns the entries indexed by their keys.
func entriesByKey(e *release.Entries) map[release.Key]any {
	m := make(map[release.Key]any)
	for k, v := range keyedEntries(e) {
		m[k] = v
	}
	return m
}

// keyedEntries returns an iterator over the entries and their keys, in the order of
// Entries.Keys.
func keyedEntries(e *release.Entries) func(func(release.Key, any) bool) {
	return func(yield func(release.Key, any) bool) {
		k := e.Keys()
		i := 0
		yieldNext := func(v any) bool {
			i++
			return yield(k[i-1], v)
		}
		for _, v := range e.Deployments {
			if !yieldNext(v) {
				return
			}
		}
		for _, v := range e.Services {
			if !yieldNext(v) {
				return
			}
		}
		for _, v := range e.Servers {
			if !yieldNext(v) {
				return
			}
		}
		for _, v := range e.Trainers {
			if !yieldNext(v) {
				return
			}
		}
	}
}
