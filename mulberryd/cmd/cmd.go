// Package cmd holds the command line of mulberryd, one file per subcommand.
package cmd

import (
	"mulberrypier.example/pier/commandline"
)

// commands holds the subcommands.
type commands struct {
	Run   runCmd   `cmd:"" help:"Serve as an entry host until SIGTERM or SIGINT, which starts a graceful shutdown; a second signal cuts it short."`
	Check checkCmd `cmd:"" help:"Check a settings file and print what is in force."`
}

// Main parses args, runs the subcommand and returns the exit code: 0 on success,
// 1 if the daemon or the check failed, 2 for an invalid command line.
func Main(args []string) int {
	var c commands
	return commandline.Main(commandline.Config{
		Name: "mulberryd", Description: "Entry host of mulberrypier, a rollout service for reinforcement learning.", Commands: &c,
	}, args)
}
