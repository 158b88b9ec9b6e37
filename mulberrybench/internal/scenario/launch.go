package scenario

import (
	"bytes"
	"context"
	"net/http"
	"os/exec"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"mulberrypier.example/mulberrybench/internal/cluster"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/settings"
)

func tomlOf(x *settings.Settings) ([]byte, error) {
	var b bytes.Buffer
	err := toml.NewEncoder(&b).Encode(x)
	return b.Bytes(), err
}

// launch starts a host as a process of its own.
func (s *state) launch(x *settings.Settings) (*cluster.Process, error) {
	f, err := s.write(x)
	if err != nil {
		return nil, err
	}
	c := exec.Command("mulberryd", "run", f)
	var b bytes.Buffer
	c.Stderr = &b
	if err := c.Start(); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(done)
	}()
	if err := healthy(x, done); err != nil {
		_ = c.Process.Kill()
		return nil, outcome.Lost(outcome.ReasonUnreachable, x.Name+": "+b.String(), err)
	}
	return &cluster.Process{
		Kill: func() {
			_ = c.Process.Kill()
			<-done
		},
		Drain: func(x context.Context) {
			_ = c.Process.Signal(syscall.SIGTERM)
			select {
			case <-done:
			case <-x.Done():
				_ = c.Process.Kill()
				<-done
			}
		},
		Pause:  func() { _ = c.Process.Signal(syscall.SIGSTOP) },
		Resume: func() { _ = c.Process.Signal(syscall.SIGCONT) },
	}, nil
}

// healthy waits until a host answers its health check.
func healthy(x *settings.Settings, done <-chan struct{}) error {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		r, err := http.Get("http://" + x.Listen.Operators.String() + "/healthz")
		if err == nil {
			_ = r.Body.Close()
			return nil
		}
		select {
		case <-done:
			return outcome.Refuse(outcome.ReasonUnreachable, "process ended")
		case <-time.After(20 * time.Millisecond):
		}
	}
	return outcome.Refuse(outcome.ReasonDeadline, "no health")
}

// Launcher returns a function that starts hosts as processes, with their settings
// files in a folder.
func Launcher(dir string) func(*settings.Settings) (*cluster.Process, error) {
	return (&state{dir: dir}).launch
}
