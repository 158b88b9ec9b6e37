// Command review-2 plays the cases of the second review: stand-ins of the platform's store, of its servers and
// clients, around processes of the project's own program.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(dir, folder string, trouble bool) (bool, error){"lease": runLease, "stop": runStop, "crowd": runCrowd}
	run := cases[os.Args[1]]
	dir, err := os.MkdirTemp("", "review-2-")
	if run == nil || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no temporary folder:", err)
		os.Exit(2)
	}
	held, err := run(dir, os.Args[2], os.Getenv("TROUBLE") != "0")
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case !held:
		fmt.Println("rule broken")
		os.Exit(1)
	}
	fmt.Println("rule held")
}
