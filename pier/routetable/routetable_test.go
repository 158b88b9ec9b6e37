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

func TestServicesFollowWeights(t *testing.T) {
	r := Route{Services: []WeightedService{{"a", 90}, {"b", 10}}}
	n := make(map[string]int)
	for i := range uint64(1000) {
		l := r.ServicesFor(i)
		require.Len(t, l, 2)
		require.NotEqual(t, l[0], l[1])
		n[l[0]]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, n)
}

// The services after the first must be distributed by weight too, or all requests of one that has
// no servers go to the same other one.
func TestFurtherServicesFollowWeights(t *testing.T) {
	r := Route{Services: []WeightedService{{"a", 50}, {"b", 30}, {"c", 20}}}
	n := make(map[string]int)
	for i := range uint64(10000) {
		if l := r.ServicesFor(i); l[0] == "a" {
			n[l[1]]++
		}
	}
	require.InDelta(t, 3000, n["b"], 150)
	require.InDelta(t, 2000, n["c"], 150)
	require.Equal(t, []WeightedService{{"a", 50}, {"b", 30}, {"c", 20}}, r.Services, "the table is immutable")
}
