// Package model is a small model of a model engine: continuous batching, a
// prefix cache of limited memory, priorities with preemption, weight loads that
// take time and can fail, and lengths with a long tail. It is a pure core: the
// stand-in engine drives it in real time, the experiments in virtual time.
package model

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Lengths is a distribution of sample lengths, in tokens.
type Lengths struct {
	// Median is the length of the middle sample of the middle group.
	Median float64 `toml:"median"`
	// GroupSigma and SampleSigma spread the logarithm between and within groups.
	GroupSigma  float64 `toml:"group-sigma"`
	SampleSigma float64 `toml:"sample-sigma"`
	// TailShare of the samples are TailFactor times as long.
	TailShare  float64 `toml:"tail-share"`
	TailFactor float64 `toml:"tail-factor"`
	Seed       uint64  `toml:"seed"`
}

// Draw returns the length of a sample of a group, the same for the same names.
func (l *Lengths) Draw(group, sample string, most int) int {
	g := rand.New(rand.NewPCG(l.Seed, xxhash.Sum64String(group)))
	s := rand.New(rand.NewPCG(l.Seed+1, xxhash.Sum64String(sample)))
	x := math.Log(l.Median) + l.GroupSigma*g.NormFloat64() + l.SampleSigma*s.NormFloat64()
	n := math.Exp(x)
	if s.Float64() < l.TailShare {
		n *= l.TailFactor
	}
	return max(1, min(most, int(n)))
}
