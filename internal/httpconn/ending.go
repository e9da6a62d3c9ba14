package httpconn

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"fuchsiaflow/errs"
)

// The kernel reports the failure of a connection to one system call only. While a request is still being sent, that may be one of its
// sender; the reader of the response then meets an end of the data, as if the target had ended the response there. The functions below
// tell one from the other for responses that have no length and end with their connection.

const (
	// failureWait bounds the wait for the sender to report the failure of a connection. It has left the system call by then.
	failureWait = time.Second
	// tcpStateClosed is TCP_CLOSE of the kernel: the connection has failed, or both sides have ended it. A connection that only
	// the target has ended is in another state.
	tcpStateClosed = 7
)

// failureAtEnd returns why the connection failed before the target had ended the response, or nil if the target has ended it. It is called
// when the reader has met the end of the data.
func (x *exchange) failureAtEnd() error {
	if known, err := x.sendResult(); known {
		return failureBeforeEnd(err)
	}
	if !x.conn.mayHaveFailed() {
		return nil
	}
	if err := x.conn.pendingFailure(); err != nil {
		return failureBeforeEnd(err)
	}
	if known, err := x.awaitSendResult(failureWait); known {
		return failureBeforeEnd(err)
	}
	return &errs.Interrupted{Operation: "response", Reason: "the connection has failed, perhaps before its end"}
}

// failureBeforeEnd returns an error of sending if it says that the connection failed before the target had ended its side.
// EPIPE says that the target had done so.
func failureBeforeEnd(err error) error {
	var errno syscall.Errno
	if !errors.As(err, &errno) || errno == syscall.EPIPE {
		return nil
	}
	return err
}

// mayHaveFailed reports whether the connection has ended in both directions, or its state is not known.
func (c *conn) mayHaveFailed() bool {
	failed := true
	c.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			failed = info.State == tcpStateClosed
		}
	})
	return failed
}

// pendingFailure returns the failure of the connection that no system call has reported yet, nil if there is none.
func (c *conn) pendingFailure() (failure error) {
	c.control(func(fd int) {
		if code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR); err == nil && code != 0 {
			failure = syscall.Errno(code)
		}
	})
	return failure
}

// control calls f with the file descriptor of the connection, unless it is closed or has none.
func (c *conn) control(f func(fd int)) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // f is not called if the connection is closed
	}
}
