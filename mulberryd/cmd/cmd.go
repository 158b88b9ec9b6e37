// Package cmd holds the command line of mulberryd, one file a subcommand.
package cmd

import (
	"mulberrypier.example/pier/commandline"
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
	return commandline.Main(commandline.Config{
		Name: "mulberryd", Description: "Entry host of mulberrypier, a rollout service for reinforcement learning.", Commands: &c,
	}, args)
}
