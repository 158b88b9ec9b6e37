// Command mulberryd is the entry host's daemon.
package main

import (
	"os"

	"mulberrypier.example/mulberryd/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:])) }
