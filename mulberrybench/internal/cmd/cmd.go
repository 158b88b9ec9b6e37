// Package cmd holds the command line of mulberrybench, one file per subcommand.
package cmd

import (
	"mulberrypier.example/pier/commandline"
)

// commands holds the subcommands.
type commands struct {
	Quickstart quickstartCmd `cmd:"" help:"Run the main job once with everything embedded, and print its tables."`
	Experiment experimentCmd `cmd:"" help:"Compare scheduling policies on the engine model, in virtual time."`
	Capacity   capacityCmd   `cmd:"" help:"Measure the costs from which docs/CAPACITY.md is calculated."`
}

// Main parses args, runs the subcommand and returns the exit code: 0 on success, 1
// if the command failed, 2 for an invalid command line.
func Main(args []string) int {
	var c commands
	return commandline.Main(commandline.Config{
		Name: "mulberrybench", Description: "Stand-ins, load and experiments for mulberrypier.", Commands: &c,
	}, args)
}
