package cmd

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"mulberrypier.example/mulberrybench/internal/experiment"
)

type experimentCmd struct {
	Files []string `arg:"" help:"Experiment files, in TOML." type:"existingfile"`
	Out   string   `help:"Folder for the tables and SVG plots; without one only the tables are printed."`
	Seeds []uint64 `help:"Seeds to use in place of the file's."`
}

// Run runs the experiments one after the other and prints their tables. With an
// output folder it also writes each table and its plots there.
func (e *experimentCmd) Run() error {
	for _, f := range e.Files {
		c, err := experiment.Read(f)
		if err != nil {
			return err
		}
		if len(e.Seeds) > 0 {
			c.Seeds = e.Seeds
		}
		r := experiment.Measure(c)
		var b bytes.Buffer
		if err := r.Table(&b); err != nil {
			return err
		}
		fmt.Printf("%s(%d runs in %v)\n\n", b.String(), len(c.Policies)*len(c.Seeds), r.Took.Round(time.Millisecond))
		if e.Out == "" {
			continue
		}
		if err := os.MkdirAll(e.Out, 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(e.Out, c.Name+".txt"), b.Bytes(), 0o644); err != nil {
			return err
		}
		if err := r.Plots(e.Out); err != nil {
			return err
		}
	}
	return nil
}
