// Package experiment measures the decisions: the real coordinator, owner and
// weight cores in virtual time, before the model of the engines. Hosts, network
// and log are not modelled, but for the time of a hop and the lag of reports.
//
// An experiment is a TOML file that states engines, trainers, lengths, faults and
// a list of policies; each policy runs on the same seeds. The same file and seed
// give the same result.
package experiment

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"

	"mulberrypier.example/mulberrybench/internal/model"
	"mulberrypier.example/pier/owner"
	"mulberrypier.example/pier/rollout"
	"mulberrypier.example/pier/settings"
)

// Placement is how samples get to engines.
type Placement string

// The placements; all but the first are baselines.
const (
	// LateBinding lets owners ask for work when they have room.
	LateBinding Placement = "late-binding"
	// RoundRobin pushes samples to one engine after the other.
	RoundRobin Placement = "round-robin"
	// LeastLoaded pushes each sample to the engine with the fewest streams by its
	// lagging report, with the own pushes since then added.
	LeastLoaded Placement = "least-loaded"
	// Matching assigns groups to engines at the start of the step at the lowest
	// cost, by predicted length and load, and binds the samples to them.
	Matching Placement = "matching"
)

// Trainer is one trainer of an experiment.
type Trainer struct {
	Name    string  `toml:"name"`
	Groups  int     `toml:"groups"`
	Samples int     `toml:"samples"`
	Share   float64 `toml:"share"`
	Bound   int64   `toml:"bound"`
	// Train is how long the trainer trains on a whole step, spread over its
	// samples; Update is how long the update takes that makes a new version.
	Train  settings.Duration `toml:"train"`
	Update settings.Duration `toml:"update"`
	// Ahead is how many steps are open beyond the one that is trained.
	Ahead int `toml:"ahead"`
	// WholeGroups makes the trainer take groups only whole.
	WholeGroups bool `toml:"whole-groups"`
}

// Chat is the load of interactive completions.
type Chat struct {
	// Rate is the completions a second; Tokens is the length of each.
	Rate   float64 `toml:"rate"`
	Tokens int     `toml:"tokens"`
}

// Faults are what goes wrong.
type Faults struct {
	// EngineDeaths is the mean time between crashes of an engine, over all
	// engines; zero for none. Repair is how long it stays away.
	EngineDeaths settings.Duration `toml:"engine-deaths"`
	Repair       settings.Duration `toml:"repair"`
	// LoadFails is the part of the weight loads that fail.
	LoadFails float64 `toml:"load-fails"`
}

// Policy is one row of the comparison.
type Policy struct {
	Name      string    `toml:"name"`
	Placement Placement `toml:"placement"`
	rollout.Policy
	// SpareAfter is how long a stream runs before it may get a spare.
	SpareAfter settings.Duration `toml:"spare-after"`
	// LoadsAtOnce is how many engines load weights at once; 0 for all.
	LoadsAtOnce int `toml:"loads-at-once"`
	// Reserve is the part of the batch that rollouts leave for chat.
	Reserve float64 `toml:"reserve"`
	// Express is the number of engines that keep their batch at ExpressBatch for
	// stragglers.
	Express      int `toml:"express"`
	ExpressBatch int `toml:"express-batch"`
	// Rule is the order in which trainers are offered room; "fair" when empty.
	Rule owner.Rule `toml:"rule"`
	// Lag replaces the experiment's age of reports when it is positive.
	Lag settings.Duration `toml:"lag"`
	// ChatPriority runs chat before rollouts.
	ChatPriority bool `toml:"chat-priority"`
}

// Config is an experiment.
type Config struct {
	Name    string        `toml:"name"`
	Text    string        `toml:"text"`
	Engines int           `toml:"engines"`
	Domains int           `toml:"domains"`
	Engine  model.Config  `toml:"engine"`
	Lengths model.Lengths `toml:"lengths"`
	// MaxTokens is the length at which a sample is cut.
	MaxTokens int `toml:"max-tokens"`
	// Load and Pause are the times of a weight load and of its swap.
	Load  settings.Duration `toml:"load"`
	Pause settings.Duration `toml:"pause"`
	// StoreRate is the loads a second that the weight store gives out; 0 for any.
	StoreRate float64 `toml:"store-rate"`
	// Hop is the one-way time between two hosts; Lag is the age of reports, and
	// Report the time between them.
	Hop    settings.Duration `toml:"hop"`
	Lag    settings.Duration `toml:"lag"`
	Report settings.Duration `toml:"report"`
	// Steps is the number of steps that each trainer trains.
	Steps    int       `toml:"steps"`
	Trainers []Trainer `toml:"trainers"`
	Chat     Chat      `toml:"chat"`
	Faults   Faults    `toml:"faults"`
	// Seeds are the seeds that each policy runs on.
	Seeds    []uint64 `toml:"seeds"`
	Policies []Policy `toml:"policies"`
	// Baseline names the policy that the others are compared with.
	Baseline string `toml:"baseline"`
}

// Error is an experiment file that is not valid.
type Error struct {
	File   string
	Reason string
}

// Error returns file and reason.
func (e *Error) Error() string { return e.File + ": " + e.Reason }

// Read reads an experiment file. An error is an *Error.
func Read(file string) (*Config, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{file, err.Error()}
	}
	var c Config
	if err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&c); err != nil {
		return nil, &Error{file, err.Error()}
	}
	if err := c.check(); err != "" {
		return nil, &Error{file, err}
	}
	for i := range c.Policies {
		c.Policies[i].Policy.SpareAfter = c.Policies[i].SpareAfter.D()
	}
	return &c, nil
}

func (c *Config) check() string {
	switch {
	case c.Engines < 1 || c.Steps < 1 || len(c.Trainers) == 0 || len(c.Policies) == 0 || len(c.Seeds) == 0:
		return "needs engines, steps, trainers, policies and seeds"
	case c.Engine.Batch < 1 || c.Engine.Speed <= 0 || c.Engine.Half <= 0 || c.Lengths.Median <= 0 || c.MaxTokens < 1:
		return "needs engine.batch, engine.speed, engine.half, lengths.median and max-tokens"
	case c.Report <= 0:
		return "needs report"
	}
	for _, t := range c.Trainers {
		if t.Groups < 1 || t.Samples < 1 {
			return fmt.Sprintf("trainer %s needs groups and samples", t.Name)
		}
	}
	return ""
}

// capacity returns the tokens a second of all engines at their full batch.
func (c *Config) capacity() float64 {
	return float64(c.Engines*c.Engine.Batch) * c.Engine.Rate(c.Engine.Batch)
}

func sec(d time.Duration) float64 { return d.Seconds() }
