package cmd

import (
	"os"

	"mulberrypier.example/mulberrybench/internal/capacity"
)

type capacityCmd struct {
	Members bool `help:"Also simulate membership at 13 to 200 hosts, in virtual time."`
}

// Run measures the costs and prints them as a table.
func (c *capacityCmd) Run() error { return capacity.Table(os.Stdout, capacity.Measure(c.Members)) }
