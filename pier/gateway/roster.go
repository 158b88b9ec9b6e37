package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/boottime"
)

// rosterTimeout bounds the time for reading the list of hosts.
const rosterTimeout = time.Second

// readRoster reads the list of hosts if there is none yet, and otherwise has it read while
// the old one is used.
func (l *limits) readRoster(ctx context.Context) {
	done := l.refreshRoster()
	l.mu.Lock()
	known := l.roster.Len() > 0
	l.mu.Unlock()
	if known || done == nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// refreshRoster has the list of hosts read if that is due. It returns a channel that is
// closed once it was read, nil if it is not due.
func (l *limits) refreshRoster() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rosterRead != nil {
		return l.rosterRead
	}
	if !l.roster.Due(boottime.Now()) {
		return nil
	}
	done := make(chan struct{})
	l.rosterRead = done
	go func() {
		defer close(done)
		hosts, err := l.readHosts()
		if err == nil {
			l.setHosts(hosts)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.rosterRead = nil
		if err != nil && !l.rosterFails {
			l.g.log.Info("servers: list of hosts cannot be read; it stays as known", zap.Error(err))
		}
		l.rosterFails = err != nil
	}()
	return done
}

// setHosts sets the list of hosts, which was just read.
func (l *limits) setHosts(hosts []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roster.Set(hosts, boottime.Now())
	l.hosts.Store(int64(l.roster.Len()))
}

func (l *limits) readHosts() ([]string, error) {
	ctx, cancel := context.WithTimeout(l.g.ctx, rosterTimeout)
	defer cancel()
	members, err := l.g.c.Log.Members(ctx, watchGroup)
	if err != nil {
		return nil, err
	}
	var r []string
	for _, m := range members {
		r = append(r, m.Name)
	}
	return r, nil
}
