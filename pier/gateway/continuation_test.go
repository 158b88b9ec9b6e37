package gateway

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
)

func TestContinuation(t *testing.T) {
	tests := map[string]struct {
		in string
		// gaps is set if ids need only grow.
		gaps   bool
		want   string
		reason outcome.Reason
	}{
		"whole":                 {in: "id: 3\ndata: a\n\nid: 4\ndata: b\n\n", want: "id: 3\ndata: a\n\nid: 4\ndata: b\n\n"},
		"carriage returns":      {in: "id: 3\r\ndata: a\r\n\r\n", want: "id: 3\r\ndata: a\r\n\r\n"},
		"long line":             {in: "id: 3\ndata: " + strings.Repeat("a", 5000) + "\n\n", want: "id: 3\ndata: " + strings.Repeat("a", 5000) + "\n\n"},
		"comments and versions": {in: ": ping\n\nretry: 9\n\n\nweights: 2\nid: 3\ndata: a\n\n", want: ": ping\n\nretry: 9\n\n\nweights: 2\nid: 3\ndata: a\n\n"},
		"unknown field":         {in: "id: 3\nother: x\ndata: a\n\n", want: "id: 3\nother: x\ndata: a\n\n"},
		"empty":                 {},
		"torn":                  {in: "id: 3\ndata: a\n\nid: 4\ndata: b\n", want: "id: 3\ndata: a\n\n", reason: outcome.ReasonShortAnswer},
		"torn comment":          {in: ": ping", reason: outcome.ReasonShortAnswer},
		"from the first":        {in: "id: 1\ndata: a\n\n", reason: outcome.ReasonTokenGap},
		"the last again":        {in: "id: 2\ndata: a\n\n", gaps: true, reason: outcome.ReasonTokenGap},
		"a gap":                 {in: "id: 3\ndata: a\n\nid: 5\ndata: b\n\n", want: "id: 3\ndata: a\n\n", reason: outcome.ReasonTokenGap},
		"a gap that may be":     {in: "id: 4\ndata: a\n\nid: 9\ndata: b\n\n", gaps: true, want: "id: 4\ndata: a\n\nid: 9\ndata: b\n\n"},
		"backwards":             {in: "id: 4\ndata: a\n\nid: 3\ndata: b\n\n", gaps: true, want: "id: 4\ndata: a\n\n", reason: outcome.ReasonTokenGap},
		"no id":                 {in: "data: a\n\n", reason: outcome.ReasonTokenGap},
		"bad id":                {in: "id: x\ndata: a\n\n", reason: outcome.ReasonTokenGap},
		"head":                  {in: "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", reason: outcome.ReasonTokenGap},
		"document":              {in: "<html>\n\n", reason: outcome.ReasonTokenGap},
		"without end":           {in: "id: 3\ndata: " + strings.Repeat("a", maxEventBytes) + "\n\n", reason: outcome.ReasonAnswerTooLarge},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for _, r := range []io.Reader{strings.NewReader(c.in), iotest.OneByteReader(strings.NewReader(c.in)), iotest.DataErrReader(strings.NewReader(c.in))} {
				b, err := io.ReadAll(newContinuation(r, "weights", 3, !c.gaps))
				require.Equal(t, c.want, string(b))
				if c.reason == "" {
					require.NoError(t, err)
					continue
				}
				require.True(t, outcome.HasReason(err, c.reason), "%v", err)
				require.NotErrorIs(t, err, io.EOF)
			}
		})
	}
}

func FuzzContinuation(f *testing.F) {
	f.Add("id: 3\ndata: a\n\n: ping\n\n")
	f.Fuzz(func(t *testing.T, s string) {
		b, err := io.ReadAll(newContinuation(strings.NewReader(s), "weights", 3, true))
		require.True(t, strings.HasPrefix(s, string(b)))
		if err == nil {
			require.Equal(t, s, string(b))
		}
	})
}
