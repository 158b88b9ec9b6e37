// Package tcpstate tells whether the peer of a TCP connection closed it gracefully, from what the kernel keeps of
// the connection.
//
// The error of a reset is returned by one system call only, which may be a write. A read that follows returns the end
// of the stream, as after a connection that was closed gracefully.
package tcpstate

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxStall is how long a peer may receive nothing of what is still to be sent to it.
	maxStall = 2 * time.Second
	// minPollInterval and maxPollInterval bound the time between two looks at a connection. The kernel does not
	// tell when a peer has received everything.
	minPollInterval = time.Millisecond
	maxPollInterval = 16 * time.Millisecond
)

// The errors of a connection that was not closed gracefully. Each wraps io.ErrUnexpectedEOF.
var (
	// ErrReset means that the connection was reset, or given up by the kernel as the peer did not respond.
	ErrReset = fmt.Errorf("%w: connection was reset", io.ErrUnexpectedEOF)
	// ErrUndelivered means that the peer half-closed the connection and does not receive what is sent to it.
	ErrUndelivered = fmt.Errorf("%w: peer does not receive the request", io.ErrUnexpectedEOF)
)

// errNoSocket means that a connection has no socket whose state could be read.
var errNoSocket = errors.New("connection has no socket")

// snapshot is the state of a connection at one moment.
type snapshot struct {
	// reset is set once the connection is closed in both directions, which this end did not do.
	reset bool
	// pending is the number of bytes that were written and are not acknowledged.
	pending int
	// acknowledged is the number of bytes that were.
	acknowledged uint64
}

// ConfirmEnd finds out whether the peer closed a connection gracefully. It must be called after a read of c has returned
// io.EOF, and not at the same time as a read. written reports whether all that is sent to the peer was written to c.
//
// It returns nil once the peer has received everything and has not reset the connection: a process that ends, or closes
// a connection, before it has received everything resets it. Until then it waits, and it fails with ErrUndelivered
// once the peer has received nothing for 2 s. It fails with ErrReset after a reset, and like a read of c once c is
// closed or its read deadline has passed.
func ConfirmEnd(c net.Conn, written func() bool) error {
	raw, err := socket(c)
	if err != nil {
		return err
	}
	var last uint64
	progressAt := time.Now()
	for interval := minPollInterval; ; interval = min(2*interval, maxPollInterval) {
		complete := written()
		s, err := read(raw)
		switch {
		case err != nil:
			return err
		case s.reset:
			return ErrReset
		case complete && s.pending == 0:
			return nil
		}
		now := time.Now()
		if s.acknowledged != last {
			last, progressAt = s.acknowledged, now
		}
		if now.Sub(progressAt) >= maxStall {
			return ErrUndelivered
		}
		time.Sleep(interval)
	}
}

// socket returns the socket of a connection, which may be wrapped, as one with TLS is.
func socket(c net.Conn) (syscall.RawConn, error) {
	for {
		if s, ok := c.(syscall.Conn); ok {
			return s.SyscallConn()
		}
		w, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, errNoSocket
		}
		c = w.NetConn()
	}
}

// read returns the state of a socket. What is pending is read first: if it is nothing, a reset that came before the
// peer had received everything shows in what is read next.
func read(raw syscall.RawConn) (s snapshot, err error) {
	failed := raw.Read(func(fd uintptr) bool {
		if s.pending, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
			return true
		}
		var i *unix.TCPInfo
		if i, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			s.reset, s.acknowledged = i.State == unix.BPF_TCP_CLOSE, i.Bytes_acked
		}
		return true
	})
	if failed != nil {
		return s, failed
	}
	return s, err
}
