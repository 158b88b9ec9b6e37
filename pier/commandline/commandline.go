// Package commandline parses a program's command line and runs the subcommand that it
// selects.
package commandline

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// The exit codes of all programs.
const (
	// ExitOK is the exit code of a subcommand that succeeded.
	ExitOK = 0
	// ExitFailed is the exit code of a subcommand that failed.
	ExitFailed = 1
	// ExitUsage is the exit code of an invalid command line.
	ExitUsage = 2
)

// Config describes a program's command line.
type Config struct {
	// Name is the program's name.
	Name string
	// Description describes the program in one line.
	Description string
	// Commands is a pointer to a struct of flags and subcommands, as defined by kong.
	Commands any
	// Bind holds the arguments of the subcommands' Run methods.
	Bind []any
	// ExitOf returns the exit code for the error of a subcommand. If nil, every error
	// has the exit code ExitFailed.
	ExitOf func(error) int
}

// Main runs the subcommand that args, the arguments without the program's name, select.
// It prints an error to standard error and returns the exit code.
func Main(c Config, args []string) int {
	p, err := kong.New(c.Commands, kong.Name(c.Name), kong.Description(c.Description), kong.UsageOnError())
	if err != nil {
		fmt.Fprintln(os.Stderr, c.Name+":", err)
		return ExitUsage
	}
	k, err := p.Parse(args)
	if err != nil {
		p.Errorf("%s", err)
		return ExitUsage
	}
	if err := k.Run(c.Bind...); err != nil {
		fmt.Fprintln(os.Stderr, c.Name+":", err)
		if c.ExitOf != nil {
			return c.ExitOf(err)
		}
		return ExitFailed
	}
	return ExitOK
}
