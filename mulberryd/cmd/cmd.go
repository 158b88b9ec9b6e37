// Package cmd holds the command line of mulberryd, one file a subcommand.
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
	Run   runCmd   `cmd:"" help:"Serve as an entry host until SIGTERM, which begins the planned stop, or a second one, which ends it."`
	Check checkCmd `cmd:"" help:"Check a settings file and print what is in force."`
}

// Main runs the command line and returns the exit code: 0 for success, 1 when
// the daemon or the check failed, 2 for a wrong command line.
func Main(args []string) int {
	var c commands
	p, err := kong.New(&c, kong.Name("mulberryd"),
		kong.Description("Entry host of mulberrypier, a rollout service for reinforcement learning."), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(os.Stderr, "mulberryd:", err)
		return exitUsage
	}
	k, err := p.Parse(args)
	if err != nil {
		p.Errorf("%s", err)
		return exitUsage
	}
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "mulberryd:", err)
		return exitFailed
	}
	return exitOK
}
