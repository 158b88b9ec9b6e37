package gateway

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/quarantine"
	"mulberrypier.example/pier/stepjournal"
	"mulberrypier.example/pier/streamorigin"
)

// keyedPages is a keyed topic whose pages hold two keys each, in the order in which they are given.
// Keys that are no text are named as the replacement character, as in JSON.
type keyedPages struct {
	keys  []string
	calls int
}

func (p *keyedPages) newest(ctx context.Context, at partitionlog.Partition) (partitionlog.Newest, error) {
	return p.newestAfter(ctx, at, "")
}

func (p *keyedPages) newestAfter(_ context.Context, _ partitionlog.Partition, after string) (partitionlog.Newest, error) {
	p.calls++
	r := partitionlog.Newest{End: int64(len(p.keys))}
	for i, k := range p.keys {
		if after != "" && k <= after {
			continue
		}
		if len(r.Records) == 2 {
			r.More = true
			break
		}
		r.Records = append(r.Records, partitionlog.KeyedRecord{Key: strings.ToValidUTF8(k, "\ufffd"), Value: []byte("v"), Offset: int64(i)})
	}
	return r, nil
}

// Guards against a host that reads the list of servers for ever, as a page ends on an odd key.
func TestListWithOddKeysIsReadToItsEnd(t *testing.T) {
	tests := map[string]struct {
		keys  []string
		whole bool
	}{
		"plain keys":             {[]string{"a", "b", "c"}, true},
		"no keys":                {nil, true},
		"empty key first":        {[]string{"", "a", "b", "c"}, true},
		"page ends on empty key": {[]string{"", ""}, true},
		"no text, last":          {[]string{"a", "b", "\xff"}, true},
		"many that are no text":  {[]string{"a", "b", "\xff\x01", "\xff\x02", "\xff\x03", "\xff\x04"}, false},
		"very long":              {[]string{"a", strings.Repeat("b", 255), strings.Repeat("c", 255), "d"}, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := &keyedPages{keys: c.keys}
			seen := make(map[string]bool)
			n, err := readNewest(context.Background(), partitionlog.Log{Newest: p.newest, NewestAfter: p.newestAfter}, partitionlog.Partition{Topic: "t"},
				func(r partitionlog.KeyedRecord) { seen[r.Key] = true })
			require.NoError(t, err)
			require.Equal(t, c.whole, n.whole)
			require.LessOrEqual(t, p.calls, len(c.keys)/2+2)
			for _, k := range c.keys {
				require.True(t, !strings.ContainsAny(k, "abcd") || seen[k], "key %q", k)
			}
		})
	}
}

// The list has more keys than a page, some of them odd. A host that starts must know all servers, and
// follow the changes after it.
func TestServersAreFollowedPastOddEntries(t *testing.T) {
	const servers, odd = 1200, 600
	l := newLog()
	put := func(key, value string) {
		_, err := l.Functions().Append(context.Background(), partitionlog.AppendRequest{
			Partition:   partitionlog.Partition{Topic: "servers"},
			ExpectedEnd: partitionlog.NoCondition, Records: [][]byte{partitionlog.EncodeKeyed(key, []byte(value))},
		})
		require.NoError(t, err)
	}
	for i := range servers {
		put(fmt.Sprint("s", i), "ready")
	}
	for i := range odd {
		put(fmt.Sprint("odd", i), "?")
	}
	put("", "?")
	put("\xff", "?")
	g := newHost(t, "a", l.Functions())
	g.c.Sources.Servers = "servers"
	g.c.Sources.ReadServer = func(key string, value []byte) (directory.Server, error) {
		if string(value) != "ready" {
			return directory.Server{}, errors.New("odd")
		}
		return directory.Server{ID: key, Service: "desk"}, nil
	}
	count := func() int {
		g.fleet.mu.Lock()
		defer g.fleet.mu.Unlock()
		return len(g.fleet.byService["desk"])
	}
	g.wg.Go(g.fleet.run)
	require.Eventually(t, func() bool { return count() == servers }, 5*time.Second, 10*time.Millisecond)
	put("odd0", "ready")
	put("s0", "")
	put("s1", "")
	require.Eventually(t, func() bool { return count() == servers-1 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against a server that is lost for its host after an odd entry under its id, and against one
// that is kept for ever.
func TestOddEntryOfALiveServer(t *testing.T) {
	tests := map[string]struct {
		// then is the registration that follows the odd one, empty for none.
		then string
		want bool
	}{
		"the server registers again": {"ready", true},
		"the server is gone":         {"", false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			start := time.Now()
			s := directory.Server{ID: "s", Service: "desk"}
			d.Register(s)
			d.Doubt("s", start)
			require.Len(t, d.Snapshot(start.Add(time.Second)), 1, "the server may well live")
			if c.then != "" {
				d.Register(s)
			}
			require.True(t, c.want || d.Changed())
			require.Equal(t, c.want, len(d.Snapshot(start.Add(directory.DoubtGrace))) == 1)
		})
	}
}

// One record that cannot be read must neither stop a reader nor fill the log of the process.
func TestOddRecordsStopNoReader(t *testing.T) {
	const odd = 2000
	l := newLog()
	core, lines := observer.New(zap.WarnLevel)
	g := newHost(t, "a", l.Functions())
	g.log = zap.New(core)
	write := func(topic string, number int, b []byte) {
		_, err := l.Functions().Append(context.Background(), partitionlog.AppendRequest{
			Partition:   partitionlog.Partition{Topic: topic, Number: number},
			ExpectedEnd: partitionlog.NoCondition, Records: [][]byte{b},
		})
		require.NoError(t, err)
	}
	for i := range odd {
		for _, topic := range []string{stepjournal.Topic, quarantine.Topic, streamorigin.Topic} {
			write(topic, 0, []byte(strings.Repeat("\x91", i)))
		}
	}
	v := g.journal.followPartition(0)
	require.NoError(t, v.sync(context.Background()))
	require.EqualValues(t, odd, v.fold.Next)
	for g.suspects.next < odd {
		require.NoError(t, g.suspects.read())
	}
	p := g.streams.partitions[0]
	require.NoError(t, g.streams.readToEnd(p))
	require.EqualValues(t, odd, p.next)
	require.LessOrEqual(t, lines.FilterMessage("log: record cannot be read; skipped").Len(), 3)
}
