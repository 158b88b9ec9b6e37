package capacityplan

import "time"

// windowLength is the time for which a window keeps what was observed.
const windowLength = 60 * time.Second

// windowSeconds is the number of seconds that a window distinguishes: the current one and those before it.
const windowSeconds = int64(windowLength/time.Second) + 1

// window holds the values of a quantity in the last seconds.
type window struct {
	seconds [windowSeconds]second
}

// second holds the values of one second.
type second struct {
	// number is the second since boot, plus 1; 0 if there is none.
	number              int64
	highest, sum, count int
}

// add adds a value that was observed at now.
func (w *window) add(now time.Duration, v int) {
	n := int64(now/time.Second) + 1
	s := &w.seconds[n%windowSeconds]
	if s.number != n {
		*s = second{number: n, highest: v}
	}
	s.highest = max(s.highest, v)
	s.sum += v
	s.count++
}

// highest returns the highest value of up to some age, to a second; 0 if there is none.
func (w *window) highest(now, age time.Duration) int {
	n := int64(now/time.Second) + 1
	r := 0
	for _, s := range w.seconds {
		if s.number > 0 && time.Duration(n-s.number)*time.Second <= age {
			r = max(r, s.highest)
		}
	}
	return r
}

// mean returns the mean of the values of up to some age.
func (w *window) mean(now, age time.Duration) float64 {
	n := int64(now/time.Second) + 1
	sum, count := 0, 0
	for _, s := range w.seconds {
		if s.number > 0 && time.Duration(n-s.number)*time.Second <= age {
			sum += s.sum
			count += s.count
		}
	}
	return float64(sum) / float64(max(count, 1))
}
