package serverlimit

import (
	"testing"
	"time"

	"mulberrypier.example/pier/directory"

	"github.com/stretchr/testify/require"
)

// Each answer is received 10 ms after its request was sent, unless the case says otherwise.
func TestBook(t *testing.T) {
	type answer struct {
		fields []string
		// sent is in milliseconds.
		sent int
	}
	states := func(v string, sent int) answer { return answer{[]string{v}, sent} }
	silent := func(sent int) answer { return answer{nil, sent} }
	tests := map[string]struct {
		answers []answer
		want    []Change
		limit   float64
		limited bool
	}{
		"no limit":                          {[]answer{silent(0)}, []Change{Unchanged}, 0, false},
		"stated":                            {[]answer{states("2", 0)}, []Change{Stated}, 2, true},
		"stated again":                      {[]answer{states("2", 0), states("2", 50)}, []Change{Stated, Unchanged}, 2, true},
		"changed":                           {[]answer{states("2", 0), states("1", 50)}, []Change{Stated, Changed}, 1, true},
		"ended":                             {[]answer{states("2", 0), silent(50)}, []Change{Stated, Ended}, 0, false},
		"answer to an earlier request":      {[]answer{states("2", 0), silent(5)}, []Change{Stated, Unchanged}, 2, true},
		"spoilt, and no limit known":        {[]answer{states("x", 0)}, []Change{Stated}, fallbackPerSecond, true},
		"spoilt after a limit":              {[]answer{states("7", 0), states("-1", 50)}, []Change{Stated, Unchanged}, 7, true},
		"spoilt, then no limit":             {[]answer{states("x", 0), silent(50)}, []Change{Stated, Ended}, 0, false},
		"zero is a limit like any other":    {[]answer{states("0", 0), silent(50)}, []Change{Stated, Ended}, 0, false},
		"ended and stated again afterwards": {[]answer{states("2", 0), silent(50), states("3", 90)}, []Change{Stated, Ended, Stated}, 3, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBook()
			s := directory.Incarnation{ID: "s", Born: 1}
			for i, a := range c.answers {
				sent := time.Duration(a.sent) * time.Millisecond
				got, _ := b.Observe(s, a.fields, sent, sent+10*time.Millisecond)
				require.Equal(t, c.want[i], got)
			}
			l, ok := b.Limit(s)
			require.Equal(t, c.limited, ok)
			require.Equal(t, c.limit, l.PerSecond)
			_, ok = b.Limit(directory.Incarnation{ID: "s", Born: 2})
			require.False(t, ok, "another incarnation has no limit")
		})
	}
}

// What another host knows of a limit's end counts if it is newer than what states the limit.
func TestEndOfALimitThatAnotherHostHasSeen(t *testing.T) {
	s := directory.Incarnation{ID: "s"}
	tests := map[string]struct {
		stated, ended time.Duration
		want          Change
	}{
		"ended since":        {time.Second, 2 * time.Second, Ended},
		"stated since":       {2 * time.Second, time.Second, Unchanged},
		"no limit was known": {0, time.Second, Unchanged},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBook()
			if c.stated > 0 {
				b.Learn(s, Limit{PerSecond: 1, StatedAt: c.stated})
			}
			require.Equal(t, c.want, b.LearnEnd(s, c.ended))
			_, known := b.Limit(s)
			require.Equal(t, c.stated > c.ended, known)
			require.Equal(t, !known, b.Ended(s, Limit{PerSecond: 1, StatedAt: c.ended - 1}))
			require.False(t, b.Ended(s, Limit{PerSecond: 1, StatedAt: c.ended + 1}))
			require.Equal(t, Unchanged, b.Learn(s, Limit{PerSecond: 1, StatedAt: c.ended}), "known to have ended")
		})
	}
}

// A limit that is stated again after its end is in force again.
func TestLimitThatIsStatedAgainHasNotEnded(t *testing.T) {
	s := directory.Incarnation{ID: "s"}
	b := NewBook()
	b.LearnEnd(s, time.Second)
	l := Limit{PerSecond: 1, StatedAt: 2 * time.Second}
	require.Equal(t, Stated, b.Learn(s, l))
	require.False(t, b.Ended(s, Limit{PerSecond: 1, StatedAt: 500 * time.Millisecond}))
}
