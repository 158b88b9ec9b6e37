// Command mulberrybench runs the quickstart, the capacity measurements and the
// experiments of mulberrypier against stand-ins for the platform and the engines.
package main

import (
	"os"

	"mulberrypier.example/mulberrybench/internal/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:])) }
