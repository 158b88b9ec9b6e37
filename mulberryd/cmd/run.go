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

// Run starts the daemon and returns once its graceful shutdown is complete.
func (c *runCmd) Run() error {
	s, err := settings.Read(c.Settings)
	if err != nil {
		return err
	}
	l, err := newLogger(s)
	if err != nil {
		return err
	}
	defer func() { _ = l.Sync() }()
	t, err := loadTLS(s)
	if err != nil {
		return err
	}
	d := daemon.New(daemon.Config{Settings: s, Log: l, TLS: t})
	if err := d.Start(); err != nil {
		return err
	}
	waitForShutdown(d)
	d.Close()
	return nil
}

// waitForShutdown blocks until the daemon has drained. The first SIGTERM or SIGINT
// starts the drain, unless an operator has started one already; a second signal cuts
// short the drain that the first one started.
func waitForShutdown(d *daemon.Daemon) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		<-signals
		go func() {
			<-signals
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

// loadTLS loads the keys that the settings name. It returns nil if TLS is off.
func loadTLS(s *settings.Settings) (*tls.Config, error) {
	if s.TLS.Off {
		return nil, nil
	}
	return tlskeys.Load(tlskeys.Files{Cert: s.TLS.Cert, Key: s.TLS.Key, CA: s.TLS.CA})
}

// newLogger returns the daemon's logger, which writes one line of JSON per entry.
// Repeated messages are sampled: of those with the same level and text within a
// second, the first 20 and then every 1000th are written.
func newLogger(s *settings.Settings) (*zap.Logger, error) {
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
