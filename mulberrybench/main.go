// Command mulberrybench runs the quickstart of mulberrypier against stand-ins for the
// platform and the engines, measures costs for capacity planning, and compares scheduling
// policies by simulation.
package main

import (
	"os"

	"mulberrypier.example/mulberrybench/internal/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:])) }
