package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
)

// Guards against hosts that ask for the whole list of servers again after each page that the log
// refuses, so that none of many hosts that start at the same time gets to its end.
func TestServersAreListedOnceThoughPagesAreRefused(t *testing.T) {
	const servers, pages, refusedOfPages = 2600, 6, 3
	l := newLog().Functions()
	var records [][]byte
	for i := range servers {
		records = append(records, partitionlog.EncodeKeyed(fmt.Sprintf("s%04d", i), []byte("engines")))
	}
	at := partitionlog.Partition{Topic: "servers"}
	_, err := l.Append(context.Background(), partitionlog.AppendRequest{Partition: at, Records: records, ExpectedEnd: partitionlog.NoCondition})
	require.NoError(t, err)
	var asked, served atomic.Int64
	refuse := func() error {
		if asked.Add(1)%refusedOfPages == 0 {
			return outcome.Refuse(outcome.ReasonLogDown, "too many reads")
		}
		return nil
	}
	c := l
	c.Newest = func(ctx context.Context, p partitionlog.Partition) (partitionlog.Newest, error) {
		if err := refuse(); err != nil {
			return partitionlog.Newest{}, err
		}
		served.Add(1)
		return l.Newest(ctx, p)
	}
	c.NewestAfter = func(ctx context.Context, p partitionlog.Partition, after string) (partitionlog.Newest, error) {
		if err := refuse(); err != nil {
			return partitionlog.Newest{}, err
		}
		served.Add(1)
		return l.NewestAfter(ctx, p, after)
	}
	g := newHost(t, "a", c)
	g.c.Sources.Servers = "servers"
	g.c.Sources.ReadServer = func(key string, value []byte) (directory.Server, error) {
		return directory.Server{ID: key, Service: string(value)}, nil
	}
	g.wg.Go(g.fleet.run)
	require.Eventually(t, func() bool { return g.fleet.count("engines") == servers }, 10*time.Second, 20*time.Millisecond)
	require.EqualValues(t, pages, served.Load())
	remove := partitionlog.EncodeKeyed("s0000", nil)
	_, err = l.Append(context.Background(), partitionlog.AppendRequest{Partition: at, Records: [][]byte{remove}, ExpectedEnd: partitionlog.NoCondition})
	require.NoError(t, err)
	require.Eventually(t, func() bool { _, known := g.fleet.server("s0000"); return !known }, 10*time.Second, 20*time.Millisecond)
}

// count returns the number of servers of a service.
func (f *fleet) count(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byService[service])
}
