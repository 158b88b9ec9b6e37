// Package model simulates a model engine: continuous batching, a prefix cache of
// limited size, priorities with preemption, weight loads that take time and can fail,
// and sample lengths with a long tail. It performs no I/O and reads no clock: the
// stand-in engine drives it in real time, the experiments in virtual time.
package model

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Lengths is a log-normal distribution of sample lengths, in tokens, with a share of
// much longer samples.
type Lengths struct {
	// Median is the median length without the tail.
	Median float64 `toml:"median"`
	// GroupSigma and SampleSigma are the standard deviations of the logarithm of the
	// length between groups and within a group.
	GroupSigma  float64 `toml:"group-sigma"`
	SampleSigma float64 `toml:"sample-sigma"`
	// TailShare is the fraction of samples, in [0, 1], that are TailFactor times as
	// long.
	TailShare  float64 `toml:"tail-share"`
	TailFactor float64 `toml:"tail-factor"`
	Seed       uint64  `toml:"seed"`
}

// Draw returns the length of a sample of a group, from 1 to maxTokens. It depends on
// nothing but the seed and the names, so that repeated draws agree.
func (l *Lengths) Draw(group, sample string, maxTokens int) int {
	g := rand.New(rand.NewPCG(l.Seed, xxhash.Sum64String(group)))
	s := rand.New(rand.NewPCG(l.Seed+1, xxhash.Sum64String(sample)))
	x := math.Log(l.Median) + l.GroupSigma*g.NormFloat64() + l.SampleSigma*s.NormFloat64()
	n := math.Exp(x)
	if s.Float64() < l.TailShare {
		n *= l.TailFactor
	}
	return max(1, min(maxTokens, int(n)))
}
