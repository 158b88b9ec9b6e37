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
	Files []string      `arg:"" optional:"" help:"Log files, one per host; if omitted, standard input is read."`
	Slack time.Duration `help:"How long before the first and after the last line with the id to look for related lines." default:"2s"`
}

// Run merges the logs of all hosts and prints, in the order of time, the lines about
// the request, step or sample with the given id.
func (c *explainCmd) Run(g *globals) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	l := logtrace.About(lines, c.ID, c.Slack)
	if len(l) == 0 {
		return outcome.Refuse(outcome.ReasonUnknownName, c.ID+" does not occur in the logs")
	}
	return g.print(l, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, "TIME\tHOST\tWHAT\tDETAILS")
		for i := range l {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", l[i].At.Format("15:04:05.000"), l[i].Host, l[i].Message, formatFields(&l[i]))
		}
	})
}

// read reads all log files, or standard input if none is given. It reports on
// standard error how many lines of each were skipped.
func (c *explainCmd) read() ([]logtrace.Line, error) {
	if len(c.Files) == 0 {
		l, skipped, err := logtrace.Read(os.Stdin, "-")
		reportSkipped("standard input", skipped)
		return l, err
	}
	var lines []logtrace.Line
	for _, p := range c.Files {
		f, err := os.Open(p)
		if err != nil {
			return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "log "+p, err)
		}
		l, skipped, err := logtrace.Read(f, strings.TrimSuffix(filepath.Base(p), ".log"))
		_ = f.Close() // opened for reading only, so no data can be lost
		if err != nil {
			return nil, err
		}
		reportSkipped(p, skipped)
		lines = append(lines, l...)
	}
	return lines, nil
}

// reportSkipped reports that n lines of a log could not be parsed as log lines.
func reportSkipped(name string, n int) {
	if n > 0 {
		_, _ = fmt.Fprintf(os.Stderr, "%s: skipped %d lines that are not log lines\n", name, n)
	}
}

// formatFields returns a line's fields as KEY=VALUE, sorted by key and without the
// level. Values are written as JSON.
func formatFields(l *logtrace.Line) string {
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
			v = []byte("?") // cannot happen: the value was decoded from JSON
		}
		_, _ = fmt.Fprintf(&b, "%s=%s ", k, v)
	}
	return strings.TrimSpace(b.String())
}
