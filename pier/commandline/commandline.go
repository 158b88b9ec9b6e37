// Package commandline runs the command line of one program.
package commandline

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes that all programs share.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Config constructs a command line.
type Config struct {
	// Name is the program's name, Description one line on it.
	Name        string
	Description string
	// Commands is a pointer to the struct of flags and subcommands, as kong wants it.
	Commands any
	// Bind holds the values that the subcommands' Run methods take.
	Bind []any
	// ExitOf returns the exit code of a subcommand's error; without it every error is
	// ExitFailed.
	ExitOf func(error) int
}

// Main runs the subcommand that args name and returns the exit code.
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
