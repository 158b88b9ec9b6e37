// Command case plays one case of the review: the project's program as separate processes, beside stand-ins for the platform, the
// servers and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// play plays a case, with its disruption if trouble is set, and returns the exit code.
type play func(d *deployment, trouble bool) (int, error)

// cases holds the cases by name. Those that are built in add themselves.
var cases = make(map[string]play)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME FOLDER")
		os.Exit(couldNot)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(p play, folder string) int {
	d, err := newDeployment("review/standins-3/names.json", filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer d.end(os.Getenv("KEEP") != "")
	code, err := p(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		d.record.line("the case could not run: %v", err)
		code = couldNot
	}
	d.record.line("exit %d", code)
	return code
}
