package experiment

import "time"

// StepResult is the timing of one step.
type StepResult struct {
	Trainer string
	Step    int64
	// Took is the time until the last sample was handed over, from the opening of the step
	// or, if later, from the completion of the step before. MinTime is the shortest time
	// that the engines could have needed.
	Took, MinTime time.Duration
	// IdleTime is how long the trainer waited for samples of this step.
	IdleTime time.Duration
}

// Result is the result of one run.
type Result struct {
	Policy string
	Seed   uint64
	Steps  []StepResult
	// Staleness holds the staleness of each sample handed over, in versions.
	Staleness []int64
	// Tokens counts the tokens of the samples handed over, Discarded those that were
	// discarded.
	Tokens, Discarded int64
	// OverBound counts the samples handed over above the staleness bound. It must be 0.
	OverBound int
	// ChatTimes holds the times of the interactive completions, in seconds.
	ChatTimes []float64
	// Swaps and Failures count the finished and failed weight loads, Crashes the
	// crashes of engines.
	Swaps, Failures, Crashes int
	// LoadOverTime is the load at each report interval.
	LoadOverTime []LoadPoint
	// Took is the virtual duration of the run.
	Took time.Duration
	// Assignments counts the streams that were assigned to engines.
	Assignments int
}

// LoadPoint is the number of running streams at a time since the start of the run, and
// the number of engines that are loading weights.
type LoadPoint struct {
	At      time.Duration
	Running int
	Loading int
}
