package stepplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSoftwareThatBeganTheTextContinuesIt(t *testing.T) {
	l := []Engine{
		{ID: "idle", Version: 2, Software: "2", Slots: 8},
		{ID: "busy", Version: 2, Software: "1", Slots: 8, Running: 7},
		{ID: "unknown", Version: 2, Slots: 8},
	}
	tests := map[string]struct {
		n    Need
		want int
	}{
		"any":           {Need{}, 0},
		"the first":     {Need{Software: "1"}, 1},
		"gone":          {Need{Software: "0"}, -1},
		"older weights": {Need{Software: "1", MinVersion: 3}, -1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, PickEngine(l, c.n)) })
	}
}

// The servers of the text's software are few and full, as when a release is nearly done.
func TestTextWaitsNoLongerThanItTakesToGenerateAgain(t *testing.T) {
	tests := map[string]struct {
		c    Continuation
		want bool
	}{
		"just broken off":       {Continuation{Generated: time.Second, Servers: 1}, false},
		"waited less":           {Continuation{Generated: time.Second, Waited: 900 * time.Millisecond, Servers: 1}, false},
		"waited as long":        {Continuation{Generated: time.Second, Waited: time.Second, Servers: 1}, true},
		"hardly begun":          {Continuation{Waited: time.Millisecond, Servers: 9}, true},
		"no server left":        {Continuation{Generated: time.Hour}, true},
		"no server, no waiting": {Continuation{Generated: time.Second, Waited: 0}, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.c.BeginsAnew()) })
	}
}
