// Command mulberryctl is the operators' command-line client of mulberrypier.
package main

import (
	"os"

	"mulberrypier.example/mulberryctl/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:])) }
