// Package cmd holds the command line of mulberryctl, one file a subcommand.
package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"mulberrypier.example/pier/commandline"
	"mulberrypier.example/pier/operator"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/tlskeys"
)

// Exit codes beside those that all programs share.
const (
	exitRejected = 3
	exitUnknown  = 4
)

// globals are the flags of all subcommands.
type globals struct {
	Host    netip.AddrPort `help:"An entry host's address for operators." env:"MULBERRY_HOST" default:"127.0.0.1:7080"`
	Output  string         `short:"o" help:"Form of the answer." enum:"table,json" default:"table"`
	Timeout time.Duration  `help:"How long to wait for an answer." default:"20s"`
	Cert    string         `help:"Operator's certificate, in PEM."`
	Key     string         `help:"Operator's key, in PEM."`
	CA      string         `name:"ca" help:"Certificate that signed the hosts', in PEM."`
	out     io.Writer
}

// client returns a client of the host.
func (g *globals) client() (*operator.Client, error) {
	c := operator.ClientConfig{Address: g.Host}
	if g.Cert != "" {
		t, err := tlskeys.Load(tlskeys.Files{Cert: g.Cert, Key: g.Key, CA: g.CA})
		if err != nil {
			return nil, err
		}
		c.TLS = t
	}
	return operator.New(c), nil
}

// context returns a context that ends with the timeout.
func (g *globals) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}

// print writes v as JSON, or calls table.
func (g *globals) print(v any, table func(w io.Writer)) error {
	if g.Output == "json" {
		e := json.NewEncoder(g.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(g.out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// commands is the command line.
type commands struct {
	globals
	Note   noteCmd   `cmd:"" help:"Check, publish and read release notes."`
	Status statusCmd `cmd:"" help:"Show members, revisions, owned servers, steps and drains."`
	Drain  drainCmd  `cmd:"" help:"Begin the planned stop of the host."`
	Chart  chartCmd  `cmd:"" help:"Print a state chart."`
	// Explain needs no host.
	Explain explainCmd `cmd:"" help:"Print the way of a request, step or sample out of logs."`
}

// rejected is a note that was not accepted.
type rejected struct{ err *outcome.Error }

// Error returns why the note was not accepted.
func (r *rejected) Error() string { return "rejected: " + r.err.Error() }

// Main runs the command line and returns the exit code: 0 for success, 1 for a
// failure, 2 for a wrong command line, 3 for a note that was rejected, 4 when
// the outcome is not known.
func Main(args []string) int {
	var c commands
	c.out = os.Stdout
	return commandline.Main(commandline.Config{
		Name: "mulberryctl", Description: "Operators' client of mulberrypier.", Commands: &c, Bind: []any{&c.globals}, ExitOf: exitOf,
	}, args)
}

func exitOf(err error) int {
	var r *rejected
	var e *outcome.Error
	switch {
	case errors.As(err, &r):
		return exitRejected
	case errors.As(err, &e) && e.Outcome == outcome.Unknown:
		return exitUnknown
	}
	return commandline.ExitFailed
}
