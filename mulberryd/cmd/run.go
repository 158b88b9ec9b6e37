package cmd

import (
	"context"
	"crypto/tls"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"mulberrypier.example/pier/daemon"
	"mulberrypier.example/pier/settings"
	"mulberrypier.example/pier/tlskeys"
)

type runCmd struct {
	Settings string `arg:"" help:"Settings file, in TOML."`
}

// Run serves until the planned stop is over.
func (c *runCmd) Run() error {
	s, err := settings.Read(c.Settings)
	if err != nil {
		return err
	}
	l, err := newLog(s)
	if err != nil {
		return err
	}
	defer func() { _ = l.Sync() }()
	t, err := keys(s)
	if err != nil {
		return err
	}
	d := daemon.New(daemon.Config{Settings: s, Log: l, TLS: t})
	if err := d.Start(); err != nil {
		return err
	}
	wait(d)
	d.Close()
	return nil
}

// wait returns when the planned stop is over or a second signal cuts it short.
func wait(d *daemon.Daemon) {
	k := make(chan os.Signal, 2)
	signal.Notify(k, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		<-k
		go func() {
			<-k
			cancel()
		}()
		d.Drain(ctx)
		close(done)
	}()
	select {
	case <-done:
	case <-d.Drained():
	}
}

func keys(s *settings.Settings) (*tls.Config, error) {
	if s.TLS.Off {
		return nil, nil
	}
	return tlskeys.Load(tlskeys.Files{Cert: s.TLS.Cert, Key: s.TLS.Key, CA: s.TLS.CA})
}

// newLog returns the log of the daemon: one line of JSON an entry, bounded when
// the same line comes over and over.
func newLog(s *settings.Settings) (*zap.Logger, error) {
	v, err := zapcore.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, err
	}
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(v)
	c.Sampling = &zap.SamplingConfig{Initial: 20, Thereafter: 1000}
	c.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	return c.Build(zap.WithCaller(false), zap.AddStacktrace(zapcore.FatalLevel))
}
