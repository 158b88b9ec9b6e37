// Package cmd holds the command line of mulberrybench, one file a subcommand.
package cmd

import (
	"mulberrypier.example/pier/commandline"
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
	return commandline.Main(commandline.Config{
		Name: "mulberrybench", Description: "Stand-ins, load and experiments for mulberrypier.", Commands: &c,
	}, args)
}
