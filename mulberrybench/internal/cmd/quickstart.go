package cmd

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/mulberrybench/internal/quickstart"
)

type quickstartCmd struct {
	Steps   int           `help:"Steps of each trainer." default:"3"`
	Groups  int           `help:"Groups of a step." default:"16"`
	Samples int           `help:"Samples of a group." default:"8"`
	Rows    int           `help:"Samples printed of each step." default:"4"`
	Limit   time.Duration `help:"Time after which the run is given up." default:"1m"`
	Verbose bool          `short:"v" help:"Print the hosts' logs."`
}

// Run runs the quickstart and prints its tables. It fails if the run exceeds the limit.
func (q *quickstartCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), q.Limit)
	defer cancel()
	l := zap.NewNop()
	if q.Verbose {
		l, _ = zap.NewDevelopment()
	}
	return quickstart.Run(ctx, quickstart.Config{
		Out: os.Stdout, Log: l, Steps: q.Steps, Groups: q.Groups, Samples: q.Samples, Rows: q.Rows,
	})
}
