// Command mulberryd is the daemon that runs on each entry host.
package main

import (
	"os"

	"mulberrypier.example/mulberryd/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:])) }
