// Command mulberrybench runs the stand-ins, the quickstart, the load tool and the
// experiments of mulberrypier.
package main

import (
	"os"

	"mulberrypier.example/mulberrybench/internal/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:])) }
