package cmd

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/operator"
)

type statusCmd struct {
	Servers bool `help:"Show each backend server with its owner."`
}

// Run prints the hosts and their steps, and on request the backend servers.
func (c *statusCmd) Run(g *globals) error {
	k, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	a, err := k.Status(ctx)
	if err != nil {
		return err
	}
	return g.print(a, func(w io.Writer) {
		printHosts(w, a)
		printSteps(w, a)
		if c.Servers {
			printServers(w, a)
		}
	})
}

// printHosts prints one row per host. A host that could not be asked shows its error
// in place of its figures.
func printHosts(w io.Writer, a *operator.Status) {
	_, _ = fmt.Fprintln(w, "HOST\tSTATE\tDOMAIN\tREVISION\tSERVERS\tRUNNING\tDRAIN\tBUGS")
	for i := range a.Hosts {
		h := &a.Hosts[i]
		if h.Err != nil {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", h.Self.ID, h.State, h.Self.Domain, h.Err.Error())
			continue
		}
		n := 0
		for _, s := range h.Servers {
			n += s.Running
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%d\n", h.Self.ID, h.State, h.Self.Domain, h.Revision, len(h.Servers), n, h.Drain, h.Bugs)
	}
}

// printSteps prints one row per step, in the order of the coordinators. It prints
// nothing if there is no step.
func printSteps(w io.Writer, a *operator.Status) {
	headerPrinted := false
	for i := range a.Hosts {
		for _, s := range a.Hosts[i].Steps {
			if !headerPrinted {
				_, _ = fmt.Fprintln(w, "\nSTEP\tCOORDINATOR\tSLOTS\tPENDING\tRUNNING\tSEALED\tOFFERED\tACKED\tDROPPED\tWAITS")
				headerPrinted = true
			}
			c := s.Counts
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Key, a.Hosts[i].Self.ID,
				c.Slots, c.Pending, c.Running, c.Sealed, c.Offered, c.Acked, c.Dropped, s.Waits)
		}
	}
}

// serverRow is a backend server with the id of the host that owns it.
type serverRow struct {
	entryhost.ServerStatus
	owner string
}

// printServers prints one row per backend server, sorted by name.
func printServers(w io.Writer, a *operator.Status) {
	var l []serverRow
	for i := range a.Hosts {
		for _, s := range a.Hosts[i].Servers {
			l = append(l, serverRow{s, a.Hosts[i].Self.ID})
		}
	}
	slices.SortFunc(l, func(a, b serverRow) int { return strings.Compare(a.Name, b.Name) })
	_, _ = fmt.Fprintln(w, "\nSERVER\tOWNER\tRUNNING\tFOREIGN\tCAPACITY\tLEAVING\tORDER\tVERSIONS")
	for _, r := range l {
		var v []string
		for m, k := range r.Versions {
			v = append(v, fmt.Sprintf("%s=%d", m, k))
		}
		slices.Sort(v)
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%v\t%s\t%s\n", r.Name, r.owner, r.Running, r.Foreign, r.Capacity, r.Leaving, r.Order, strings.Join(v, " "))
	}
}
