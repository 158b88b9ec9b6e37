package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"mulberrypier.example/pier/logtrace"
	"mulberrypier.example/pier/outcome"
)

type explainCmd struct {
	ID    string        `arg:"" help:"Id of a request, a step or a sample."`
	Files []string      `arg:"" optional:"" help:"Logs, one file a host; standard input without any."`
	Slack time.Duration `help:"How far around the id's own lines to look for their circumstances." default:"2s"`
}

// Run prints the way of a request, step or sample out of the logs of all hosts.
func (c *explainCmd) Run(g *globals) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	l := logtrace.Of(lines, c.ID, c.Slack)
	if len(l) == 0 {
		return outcome.Refuse(outcome.ReasonUnknownName, c.ID+" is in none of the logs")
	}
	return g.print(l, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "TIME\tHOST\tWHAT\tDETAILS")
		for i := range l {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", l[i].At.Format("15:04:05.000"), l[i].Host, l[i].Message, details(&l[i]))
		}
	})
}

// read reads all logs. What are no log lines is counted on standard error.
func (c *explainCmd) read() ([]logtrace.Line, error) {
	if len(c.Files) == 0 {
		l, skipped, err := logtrace.Read(os.Stdin, "-")
		tellSkipped("standard input", skipped)
		return l, err
	}
	var lines []logtrace.Line
	for _, p := range c.Files {
		f, err := os.Open(p)
		if err != nil {
			return nil, outcome.RefuseFor(outcome.ReasonBadRequest, "log "+p, err)
		}
		l, skipped, err := logtrace.Read(f, strings.TrimSuffix(filepath.Base(p), ".log"))
		_ = f.Close() // it was only read
		if err != nil {
			return nil, err
		}
		tellSkipped(p, skipped)
		lines = append(lines, l...)
	}
	return lines, nil
}

func tellSkipped(name string, n int) {
	if n > 0 {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %d lines are no log lines\n", name, n)
	}
}

// details returns a line's fields in the order of their names.
func details(l *logtrace.Line) string {
	var keys []string
	for k := range l.Fields {
		if k != "level" {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var b strings.Builder
	for _, k := range keys {
		v, err := json.Marshal(l.Fields[k])
		if err != nil {
			v = []byte("?") // a value that was read from JSON can be written again
		}
		_, _ = fmt.Fprintf(&b, "%s=%s ", k, v)
	}
	return strings.TrimSpace(b.String())
}
