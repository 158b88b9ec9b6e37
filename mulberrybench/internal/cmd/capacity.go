package cmd

import (
	"os"

	"mulberrypier.example/mulberrybench/internal/capacity"
)

type capacityCmd struct {
	Members bool `help:"Run membership at 13 to 200 hosts too, in virtual time."`
}

// Run measures the slopes and prints them.
func (c *capacityCmd) Run() error { return capacity.Table(os.Stdout, capacity.Measure(c.Members)) }
