package access

// Kind is the kind of a request, which orders requests of the same priority.
type Kind int

// The kinds, the most urgent first.
const (
	// KindSample is the generation of a sample of a step.
	KindSample Kind = iota
	// KindPlain is a caller's plain request.
	KindPlain
	// KindReward is a call that scores a sample.
	KindReward
	kinds = iota
)

// lowestLevel is the level of the least urgent requests.
const lowestLevel = 9

// Level returns the urgency of a request, from 0 for the most urgent to lowestLevel, for a priority as in the
// configuration and a kind. Requests of the priorities 0 to 2 have different levels for each priority and kind. All
// less urgent ones have lowestLevel, as no more levels are left.
func Level(priority int, k Kind) int {
	if priority >= lowestLevel/kinds {
		return lowestLevel
	}
	return max(priority, 0)*kinds + int(k)
}
