// Package cmd holds the command line of mulberryctl, one file per subcommand.
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

// Exit codes in addition to those of package commandline.
const (
	exitRejected = 3
	exitUnknown  = 4
)

// globals holds the flags that all subcommands share.
type globals struct {
	Host    netip.AddrPort `help:"An entry host's address for operators." env:"MULBERRY_HOST" default:"127.0.0.1:7080"`
	Output  string         `short:"o" help:"Output format." enum:"table,json" default:"table"`
	Timeout time.Duration  `help:"How long to wait for an answer." default:"20s"`
	Cert    string         `help:"Operator's certificate, in PEM."`
	Key     string         `help:"Operator's key, in PEM."`
	CA      string         `name:"ca" help:"CA certificate that signed the hosts' certificates, in PEM."`
	out     io.Writer
}

// client returns a client of the entry host that the flags name. The client uses
// TLS if a certificate is given.
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

// context returns a context that expires after the timeout flag.
func (g *globals) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}

// print writes v in the chosen output format: as indented JSON, or as the text that
// table writes, with its tab-separated columns aligned.
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

// commands holds the global flags and the subcommands.
type commands struct {
	globals
	Note   noteCmd   `cmd:"" help:"Check, publish and read release notes."`
	Status statusCmd `cmd:"" help:"Show members, revisions, owned servers, steps and drains."`
	Drain  drainCmd  `cmd:"" help:"Start the graceful shutdown of the host."`
	Chart  chartCmd  `cmd:"" help:"Print a state chart."`
	// Explain works on log files alone and contacts no host.
	Explain explainCmd `cmd:"" help:"Print what the logs say about a request, step or sample."`
}

// rejectedError reports that a release note was rejected.
type rejectedError struct{ err *outcome.Error }

// Error returns the reason for the rejection.
func (r *rejectedError) Error() string { return "rejected: " + r.err.Error() }

// Main parses args, runs the subcommand and returns the exit code: 0 on success, 1
// on failure, 2 for an invalid command line, 3 if the note was rejected, 4 if the
// outcome is unknown.
func Main(args []string) int {
	var c commands
	c.out = os.Stdout
	return commandline.Main(commandline.Config{
		Name: "mulberryctl", Description: "Operators' client of mulberrypier.", Commands: &c, Bind: []any{&c.globals}, ExitOf: exitOf,
	}, args)
}

func exitOf(err error) int {
	var r *rejectedError
	var e *outcome.Error
	switch {
	case errors.As(err, &r):
		return exitRejected
	case errors.As(err, &e) && e.Outcome == outcome.Unknown:
		return exitUnknown
	}
	return commandline.ExitFailed
}
