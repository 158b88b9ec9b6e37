package cmd

import (
	"fmt"
	"io"
)

type drainCmd struct{}

// Run starts the graceful shutdown of the host and returns without waiting for it.
func (c *drainCmd) Run(g *globals) error {
	k, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	a, err := k.Drain(ctx)
	if err != nil {
		return err
	}
	return g.print(a, func(w io.Writer) { _, _ = fmt.Fprintf(w, "drain is %s; follow it with status\n", a.State) })
}
