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

// encodeTOML returns settings as TOML.
func encodeTOML(x *settings.Settings) ([]byte, error) {
	var b bytes.Buffer
	err := toml.NewEncoder(&b).Encode(x)
	return b.Bytes(), err
}

// startProcess starts a host as a process of its own and returns once the host
// answers its health check. If the host does not start, the error contains what the
// process wrote to standard error.
func (s *state) startProcess(x *settings.Settings) (*cluster.Process, error) {
	f, err := s.writeSettings(x)
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
	if err := waitHealthy(x, done); err != nil {
		_ = c.Process.Kill()
		return nil, outcome.Ambiguous(outcome.ReasonUnreachable, x.Name+": "+b.String(), err)
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

// waitHealthy waits until a host answers its health check with any status. It fails
// when done is closed, as the process has ended then, or after defaultTimeout.
func waitHealthy(x *settings.Settings, done <-chan struct{}) error {
	end := time.Now().Add(defaultTimeout)
	for time.Now().Before(end) {
		r, err := http.Get("http://" + x.Listen.Operators.String() + "/healthz")
		if err == nil {
			_ = r.Body.Close()
			return nil
		}
		select {
		case <-done:
			return outcome.Refuse(outcome.ReasonUnreachable, "process ended before its first health check")
		case <-time.After(20 * time.Millisecond):
		}
	}
	return outcome.Refuse(outcome.ReasonDeadline, "no answer to the health check within 20 s")
}

// Launcher returns a function for cluster.Config.Launch that starts hosts as processes
// of their own and writes their settings files into dir.
func Launcher(dir string) func(*settings.Settings) (*cluster.Process, error) {
	return (&state{dir: dir}).startProcess
}
