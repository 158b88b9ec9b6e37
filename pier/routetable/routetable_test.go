package routetable

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMatch(t *testing.T) {
	r := func(name, host, prefix string) *Route {
		return &Route{
			Name: name, Host: host, Prefix: prefix,
			Services: []WeightedService{{Service: "s", Weight: 1}},
		}
	}
	x := New(1, []*Route{r("all", "h", "/"), r("a", "h", "/a/"), r("ab", "h", "/a/b/"), r("other", "o", "/a/")}, nil, Limits{})
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":       {"h", "/a/b/c", "ab"},
		"shorter prefix":       {"h", "/a/c", "a"},
		"no slash, no match":   {"h", "/ab", "all"},
		"port does not matter": {"h:80", "/a/", "a"},
		"other host":           {"o", "/a/x", "other"},
		"no route":             {"o", "/b/", ""},
		"no host":              {"n", "/a/", ""},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			m := x.Match(c.host, c.path)
			if c.want == "" {
				require.Nil(t, m)
				return
			}
			require.Equal(t, c.want, m.Name)
		})
	}
}

func TestPickFollowsWeights(t *testing.T) {
	r := Route{Services: []WeightedService{{"a", 90}, {"b", 10}}}
	n := make(map[string]int)
	for i := range uint64(1000) {
		n[r.PickService(i)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, n)
}
