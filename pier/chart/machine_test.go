package chart

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMachineFollowsItsChart(t *testing.T) {
	c := Load("drain")
	m := NewMachine(c)
	require.True(t, m.Initial())
	want := c.Initial()
	e := c.Events(want)[0]
	c.Fire(&want, e)
	require.Equal(t, want, m.Fire(e))
	require.Equal(t, want, m.State())
	require.Equal(t, want == c.Initial(), m.Initial())
}
