package cmd

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"mulberrypier.example/pier/chart"
	"mulberrypier.example/pier/outcome"
)

type chartCmd struct {
	Name string `arg:"" optional:"" help:"Name of a chart; without one all names are listed."`
	Dot  bool   `help:"Print a diagram in the dot language."`
}

// Run prints the named state chart, or the names of all charts.
func (c *chartCmd) Run(g *globals) error {
	n := chart.Names()
	if c.Name == "" {
		return g.print(n, func(w io.Writer) { _, _ = fmt.Fprintln(w, strings.Join(n, "\n")) })
	}
	if !slices.Contains(n, c.Name) {
		return outcome.Refuse(outcome.ReasonUnknownName, "chart/"+c.Name)
	}
	s := chart.Load(c.Name).Text()
	if c.Dot {
		s = chart.Load(c.Name).Dot()
	}
	_, err := io.WriteString(g.out, s)
	return err
}
