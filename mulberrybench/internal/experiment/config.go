// Package experiment measures scheduling policies by discrete-event simulation. It runs
// the service's own coordinators, owner table and weight loading in virtual time against
// simulated engines. Hosts, network and log are not simulated, except for the latency
// between two hosts and the age of the engines' load reports.
//
// An experiment is a TOML file that states engines, trainers, sample lengths, faults and
// a list of policies. Each policy runs on the same seeds, and a run is a deterministic
// function of the file, the policy and the seed.
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

// Placement is the way in which samples are assigned to engines.
type Placement string

// The placements; all but the first are baselines.
const (
	// LateBinding lets owners pull work when their engines have free slots.
	LateBinding Placement = "late-binding"
	// RoundRobin pushes samples to the engines in turn.
	RoundRobin Placement = "round-robin"
	// LeastLoaded pushes each sample to the engine with the fewest streams: those of
	// its last report, which lags, and those pushed since that report.
	LeastLoaded Placement = "least-loaded"
	// Matching stands for a placement that assigns groups to engines at the start of a
	// step, at the lowest cost by predicted length and load, and binds the samples to these
	// engines. It is not implemented and acts like LeastLoaded.
	Matching Placement = "matching"
)

// Trainer configures one trainer of an experiment.
type Trainer struct {
	Name string `toml:"name"`
	// Groups is the number of groups in a step, Samples the number of samples in a group.
	Groups  int `toml:"groups"`
	Samples int `toml:"samples"`
	// Share is the trainer's weight when free slots are shared among trainers; 0 means 1.
	Share float64 `toml:"share"`
	// StalenessBound is the greatest staleness of a sample, in versions.
	StalenessBound int64 `toml:"bound"`
	// TrainTime is the training time of a complete step, spread evenly over its samples;
	// UpdateTime is the time to update the weights after a step, which makes a new
	// version.
	TrainTime  settings.Duration `toml:"train"`
	UpdateTime settings.Duration `toml:"update"`
	// StepsAhead is the number of steps that are open beyond the one that is trained.
	StepsAhead int `toml:"ahead"`
	// WholeGroups makes the trainer pull complete groups only.
	WholeGroups bool `toml:"whole-groups"`
}

// Chat configures the load of interactive completions.
type Chat struct {
	// Rate is the mean number of completions a second, which arrive at random; Tokens is
	// the length of each.
	Rate   float64 `toml:"rate"`
	Tokens int     `toml:"tokens"`
}

// Faults configures fault injection.
type Faults struct {
	// CrashInterval is the mean time between two crashes, over all engines together;
	// 0 means no crashes. RepairTime is how long a crashed engine stays down.
	CrashInterval settings.Duration `toml:"engine-deaths"`
	RepairTime    settings.Duration `toml:"repair"`
	// LoadFails is the fraction of the weight loads that fail, in [0, 1].
	LoadFails float64 `toml:"load-fails"`
}

// Policy configures one of the policies that are compared.
type Policy struct {
	Name      string    `toml:"name"`
	Placement Placement `toml:"placement"`
	rollout.Policy
	// SpareAfter is how long a stream runs before a spare attempt of its sample may
	// start.
	SpareAfter settings.Duration `toml:"spare-after"`
	// LoadsAtOnce is the greatest number of engines that load weights at the same time;
	// 0 means no limit.
	LoadsAtOnce int `toml:"loads-at-once"`
	// Reserve is the fraction of an engine's batch that rollouts leave free for chat.
	Reserve float64 `toml:"reserve"`
	// Express is the number of engines that run at most ExpressBatch rollouts at
	// once, which speeds up stragglers.
	Express      int `toml:"express"`
	ExpressBatch int `toml:"express-batch"`
	// Rule is the order in which free slots are offered to trainers; "fair" when
	// empty.
	Rule owner.Rule `toml:"rule"`
	// Lag overrides Config.Lag if it is positive.
	Lag settings.Duration `toml:"lag"`
	// ChatPriority makes engines run chat before rollouts.
	ChatPriority bool `toml:"chat-priority"`
}

// Config is an experiment as its file states it.
type Config struct {
	Name string `toml:"name"`
	// Text describes the experiment at the head of its table.
	Text string `toml:"text"`
	// Engines is the number of engines. Domains has no effect.
	Engines int           `toml:"engines"`
	Domains int           `toml:"domains"`
	Engine  model.Config  `toml:"engine"`
	Lengths model.Lengths `toml:"lengths"`
	// MaxTokens is the length at which a sample is cut off.
	MaxTokens int `toml:"max-tokens"`
	// Load is the time to load weights; Pause is how long the streams of the engine then
	// pause while the weights are swapped.
	Load  settings.Duration `toml:"load"`
	Pause settings.Duration `toml:"pause"`
	// StoreRate is the number of loads a second that the weight store grants; 0 means no
	// limit.
	StoreRate float64 `toml:"store-rate"`
	// HopLatency is the one-way latency between two hosts; Lag is the age of an engine's
	// load report when it arrives, and ReportInterval the time between two reports.
	HopLatency     settings.Duration `toml:"hop"`
	Lag            settings.Duration `toml:"lag"`
	ReportInterval settings.Duration `toml:"report"`
	// Steps is the number of steps of each trainer.
	Steps    int       `toml:"steps"`
	Trainers []Trainer `toml:"trainers"`
	Chat     Chat      `toml:"chat"`
	Faults   Faults    `toml:"faults"`
	// Seeds are the seeds of the runs of each policy.
	Seeds    []uint64 `toml:"seeds"`
	Policies []Policy `toml:"policies"`
	// Baseline is the name of the policy that the others are compared with.
	Baseline string `toml:"baseline"`
}

// Error reports that an experiment file cannot be read or is invalid.
type Error struct {
	File   string
	Reason string
}

// Error returns the file and the reason.
func (e *Error) Error() string { return e.File + ": " + e.Reason }

// Read reads and validates an experiment file. It refuses unknown keys. Any error is an
// *Error.
func Read(file string) (*Config, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, &Error{file, err.Error()}
	}
	var c Config
	if err := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields().Decode(&c); err != nil {
		return nil, &Error{file, err.Error()}
	}
	if err := c.validate(); err != "" {
		return nil, &Error{file, err}
	}
	for i := range c.Policies {
		c.Policies[i].Policy.SpareAfter = c.Policies[i].SpareAfter.D()
	}
	return &c, nil
}

// validate returns why the experiment is invalid, or "" if it is valid.
func (c *Config) validate() string {
	switch {
	case c.Engines < 1 || c.Steps < 1 || len(c.Trainers) == 0 || len(c.Policies) == 0 || len(c.Seeds) == 0:
		return "engines and steps must be at least 1, and trainers, policies and seeds must not be empty"
	case c.Engine.MaxBatch < 1 || c.Engine.Speed <= 0 || c.Engine.HalfSpeedBatch <= 0 || c.Lengths.Median <= 0 || c.MaxTokens < 1:
		return "engine.batch, engine.speed, engine.half, lengths.median and max-tokens must be positive"
	case c.ReportInterval <= 0:
		return "report must be positive"
	}
	for _, t := range c.Trainers {
		if t.Groups < 1 || t.Samples < 1 {
			return fmt.Sprintf("trainer %s: groups and samples must be at least 1", t.Name)
		}
	}
	return ""
}

// maxThroughput returns the tokens a second of all engines together at a full batch.
func (c *Config) maxThroughput() float64 {
	return float64(c.Engines*c.Engine.MaxBatch) * c.Engine.Rate(c.Engine.MaxBatch)
}

func seconds(d time.Duration) float64 { return d.Seconds() }
