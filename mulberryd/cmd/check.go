package cmd

import (
	"os"

	"github.com/pelletier/go-toml/v2"

	"mulberrypier.example/pier/settings"
)

type checkCmd struct {
	Settings string `arg:"" help:"Settings file, in TOML."`
}

// Run checks the settings file and prints the settings with defaults filled in.
func (c *checkCmd) Run() error {
	s, err := settings.Read(c.Settings)
	if err != nil {
		return err
	}
	return toml.NewEncoder(os.Stdout).Encode(s)
}
