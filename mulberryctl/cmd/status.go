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

// Run shows all hosts at a glance.
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
		hosts(w, a)
		steps(w, a)
		if c.Servers {
			servers(w, a)
		}
	})
}

func hosts(w io.Writer, a *operator.Status) {
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

func steps(w io.Writer, a *operator.Status) {
	head := false
	for i := range a.Hosts {
		for _, s := range a.Hosts[i].Steps {
			if !head {
				_, _ = fmt.Fprintln(w, "\nSTEP\tCOORDINATOR\tSLOTS\tPENDING\tRUNNING\tSEALED\tOFFERED\tACKED\tDROPPED\tWAITS")
				head = true
			}
			c := s.Counts
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", s.Key, a.Hosts[i].Self.ID,
				c.Slots, c.Pending, c.Running, c.Sealed, c.Offered, c.Acked, c.Dropped, s.Waits)
		}
	}
}

// row is one backend server with its owner.
type row struct {
	entryhost.ServerStatus
	owner string
}

func servers(w io.Writer, a *operator.Status) {
	var l []row
	for i := range a.Hosts {
		for _, s := range a.Hosts[i].Servers {
			l = append(l, row{s, a.Hosts[i].Self.ID})
		}
	}
	slices.SortFunc(l, func(a, b row) int { return strings.Compare(a.Name, b.Name) })
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
