package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKeyTellsRequestsApart(t *testing.T) {
	base := Identity{Host: "h", Method: "POST", Target: "/a?b", Caller: "c", Body: []byte("d")}
	tests := map[string]func(i *Identity){
		"host":                      func(i *Identity) { i.Host = "x" },
		"method":                    func(i *Identity) { i.Method = "GET" },
		"query":                     func(i *Identity) { i.Target = "/a?c" },
		"caller":                    func(i *Identity) { i.Caller = "" },
		"body":                      func(i *Identity) { i.Body = nil },
		"bytes that move to a side": func(i *Identity) { i.Target, i.Caller = "/a?bc", "" },
	}
	again := base
	again.Body = []byte("d")
	require.Equal(t, KeyOf(base), KeyOf(again))
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			i := base
			change(&i)
			require.NotEqual(t, KeyOf(base), KeyOf(i))
		})
	}
}
