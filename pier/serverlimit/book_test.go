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
