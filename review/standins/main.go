// Command standins runs the cases of a review: it starts the program under review as separate
// processes beside stand-ins of the platform's store, of backend servers and of clients, and
// checks one rule by what these have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun ends a case that does not end by itself.
const maxRun = 115 * time.Second

// cases holds the cases by name. Each registers itself.
var cases = make(map[string]func(w *world) error)

// errBroken is returned by a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(exitNotRun)
	}
	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](w) }()
	select {
	case err = <-done:
	case <-time.After(maxRun):
		err = errors.New("the case did not end in time")
	case <-stop:
		err = errors.New("the case was stopped")
	}
	w.close()
	w.note("result: %v", err)
	switch {
	case err == nil:
		fmt.Println("held")
		os.Exit(exitHeld)
	case errors.Is(err, errBroken):
		fmt.Println("broken")
		os.Exit(exitBroken)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitNotRun)
}
