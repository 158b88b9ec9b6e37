package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
)

func TestEvents(t *testing.T) {
	tests := map[string]struct {
		in     string
		data   []string
		reason outcome.Reason
	}{
		"whole":               {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"a", "b"}, ""},
		"carriage returns":    {"id: 1\r\ndata: a\r\n\r\n", []string{"a"}, ""},
		"two lines of data":   {"id: 1\ndata: a\ndata: b\n\n", []string{"a\nb"}, ""},
		"a version first":     {"weights: 3\nid: 1\ndata: a\n\n", []string{"a"}, ""},
		"torn in the data":    {"id: 1\ndata: a\n\nid: 2\ndata: b", []string{"a"}, outcome.ReasonShortAnswer},
		"torn before the end": {"id: 1\ndata: a\n\nid: 2\ndata: b\n", []string{"a"}, outcome.ReasonShortAnswer},
		"torn in a name":      {"id: 1\ndata: a\n\ni", []string{"a"}, outcome.ReasonShortAnswer},
		"no id":               {"data: a\n\n", nil, outcome.ReasonTokenGap},
		"bad version":         {"weights: x\nid: 1\n\n", nil, outcome.ReasonUnversioned},
		"empty":               {"", nil, ""},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			e := newEvents(strings.NewReader(c.in), "weights")
			var got []string
			for {
				n, err := e.next()
				if err != nil {
					if c.reason == "" {
						require.ErrorIs(t, err, io.EOF)
					} else {
						require.True(t, outcome.HasReason(err, c.reason), "%v", err)
					}
					break
				}
				got = append(got, n.data)
			}
			require.Equal(t, c.data, got)
		})
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Fuzz(func(_ *testing.T, s string) {
		e := newEvents(strings.NewReader(s), "weights")
		for {
			if _, err := e.next(); err != nil {
				if !errors.Is(err, io.EOF) {
					_ = outcome.AsError(err)
				}
				return
			}
		}
	})
}
