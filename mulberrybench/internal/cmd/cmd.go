// Package cmd holds the command line of mulberrybench, one file a subcommand.
package cmd

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// commands is the command line.
type commands struct {
	Quickstart quickstartCmd `cmd:"" help:"Run the main job once with everything embedded, and print its tables."`
	Experiment experimentCmd `cmd:"" help:"Measure the decisions: policies before the model of the engines, in virtual time."`
	Capacity   capacityCmd   `cmd:"" help:"Measure the slopes from which docs/CAPACITY.md is worked out."`
}

// Main runs the command line and returns the exit code: 0 for success, 1 when
// the command failed, 2 for a wrong command line.
func Main(args []string) int {
	var c commands
	p, err := kong.New(&c, kong.Name("mulberrybench"), kong.Description("Stand-ins, load and experiments for mulberrypier."), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(os.Stderr, "mulberrybench:", err)
		return exitUsage
	}
	k, err := p.Parse(args)
	if err != nil {
		p.Errorf("%s", err)
		return exitUsage
	}
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "mulberrybench:", err)
		return exitFailed
	}
	return exitOK
}
