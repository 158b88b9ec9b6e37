package rollout

// Counts summarises the state of a step: its slots by state, and totals.
type Counts struct {
	Slots   int  `msgpack:"s" json:"slots"`
	Pending int  `msgpack:"p" json:"pending"`
	Running int  `msgpack:"r" json:"running"`
	Sealed  int  `msgpack:"e" json:"sealed"`
	Offered int  `msgpack:"o" json:"offered"`
	Acked   int  `msgpack:"a" json:"acked"`
	Closed  bool `msgpack:"c" json:"closed"`
	// Dropped counts samples that were over the staleness bound when they finished or were
	// pulled.
	Dropped int `msgpack:"d" json:"dropped"`
	// Discarded counts tokens that were generated but will not be delivered.
	Discarded int64 `msgpack:"t" json:"tokens-thrown"`
	// Tokens counts the tokens of sealed samples.
	Tokens int64 `msgpack:"k" json:"tokens"`
	// Lost counts streams that failed, or whose server or owner failed.
	Lost int `msgpack:"l" json:"lost"`
}

// Counts returns the current counts of the step.
func (c *Coordinator) Counts() Counts { return c.counts }

// Waits describes what the step is waiting for, for the status report.
func (c *Coordinator) Waits() string {
	n := &c.counts
	switch {
	case c.Done():
		return "whole"
	case n.Pending > 0:
		return "samples wait for a server"
	case n.Running > 0:
		return "samples are being generated"
	case n.Sealed > 0:
		return "samples wait for the trainer's pull"
	case n.Offered > 0:
		return "a batch waits for its acknowledgement"
	case !n.Closed:
		return "the trainer has not closed the step"
	}
	return ""
}
