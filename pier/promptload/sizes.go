package promptload

import (
	"math"
	"math/bits"
	"time"
)

const (
	// sizeWeight is the weight of a prompt in the moving average of their sizes.
	sizeWeight = 1. / 64
	// slowerWeight is the weight of a longer time than the shortest: a short one that was measured under
	// another load is forgotten after some prompts.
	slowerWeight = 1. / 128
	// trustedReads is the number of measurements after which the shortest is taken for what it is. Fewer may all
	// have been disturbed.
	trustedReads = 16
	// sizeClasses is the number of classes of prompts. The tokens of a class differ by a factor of two at most.
	sizeClasses = 32
)

// sizes holds the usual size of prompts and how long engines take to read them.
type sizes struct {
	count int
	// logMean is the moving average of the logarithms of the sizes: a few long prompts hardly move it.
	logMean float64
	// first holds by class the shortest time to the first event lately, 0 if none was measured. It contains
	// all that the first event takes beside the reading.
	first [sizeClasses]time.Duration
	// reads counts by class the measurements, up to trustedReads.
	reads [sizeClasses]int
}

// add counts a prompt.
func (s *sizes) add(tokens int) {
	s.count++
	w := max(sizeWeight, 1/float64(s.count))
	s.logMean += w * (math.Log(float64(tokens)) - s.logMean)
}

// isLarge reports whether a prompt is several times as large as the usual one.
func (s *sizes) isLarge(tokens int) bool {
	return tokens > 0 && s.count > 0 && float64(tokens) >= longFactor*math.Exp(s.logMean)
}

// read records the time from the sending of a prompt to the first event of its answer.
func (s *sizes) read(tokens int, took time.Duration) {
	c := classOf(tokens)
	s.reads[c] = min(s.reads[c]+1, trustedReads)
	f := &s.first[c]
	if *f == 0 || took < *f {
		*f = took
		return
	}
	*f += time.Duration(slowerWeight * float64(took-*f))
}

// readTime returns how much longer the first event of a prompt takes than that of a usual one, 0 if that was
// not measured.
func (s *sizes) readTime(tokens int) time.Duration {
	if s.count == 0 || tokens <= 0 {
		return 0
	}
	large, usual := s.first[classOf(tokens)], s.firstOfUsual()
	if large == 0 || usual == 0 {
		return 0
	}
	return max(large-usual, 0)
}

// certainReadTime returns the part of readTime that the number of measurements confirms.
func (s *sizes) certainReadTime(tokens int) time.Duration {
	return s.readTime(tokens) * time.Duration(s.reads[classOf(tokens)]) / trustedReads
}

// firstOfUsual returns the shortest time to the first event of prompts of the usual size, or of the nearest
// one that was measured: the smaller ones first.
func (s *sizes) firstOfUsual() time.Duration {
	usual := classOf(int(math.Exp(s.logMean)))
	for c := usual; c >= 0; c-- {
		if s.first[c] > 0 {
			return s.first[c]
		}
	}
	for c := usual + 1; c < sizeClasses; c++ {
		if s.first[c] > 0 {
			return s.first[c]
		}
	}
	return 0
}

func classOf(tokens int) int { return min(bits.Len(uint(max(tokens, 1))), sizeClasses-1) }
