package wallclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOnlyStepsAreNoticed(t *testing.T) {
	day := time.Unix(1e9, 0)
	at := func(wall, boot time.Duration) Reading { return Reading{Wall: day.Add(wall), Before: boot, After: boot} }
	stopped := at(time.Minute, time.Second)
	stopped.After = time.Minute
	tests := map[string]struct {
		readings []Reading
		want     []time.Duration
	}{
		"steady":               {[]Reading{at(0, 0), at(time.Second, time.Second), at(time.Hour, time.Hour)}, []time.Duration{0, 0, 0}},
		"ahead and back":       {[]Reading{at(0, 0), at(401*time.Second, time.Second), at(9*time.Second, 9*time.Second)}, []time.Duration{0, 400 * time.Second, -400 * time.Second}},
		"back by days":         {[]Reading{at(0, 0), at(-72*time.Hour, 0)}, []time.Duration{0, -72 * time.Hour}},
		"stays ahead":          {[]Reading{at(0, 0), at(time.Hour, 0), at(time.Hour, 0)}, []time.Duration{0, time.Hour, 0}},
		"rate is changed":      {[]Reading{at(0, 0), at(1001*time.Millisecond, time.Second), at(2002*time.Millisecond, 2*time.Second)}, []time.Duration{0, 0, 0}},
		"stopped while read":   {[]Reading{at(0, 0), stopped, at(2*time.Second, 2*time.Second)}, []time.Duration{0, 0, 0}},
		"stopped at the first": {[]Reading{stopped, at(time.Hour, 0), at(time.Hour, 0)}, []time.Duration{0, 0, 0}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var w Watch
			for i, r := range c.readings {
				require.Equal(t, c.want[i], w.Look(r), "reading %d", i)
			}
		})
	}
}
