package httpconn

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// receiveBuffer bounds what the kernel holds of a response that is read slowly, which counts as memory of the process. The
// kernel doubles it, which gives its usual first size. Without a bound it may grow to some MB.
const receiveBuffer = 64 << 10

// conn is a connection to a target.
type conn struct {
	net.Conn
	addr      string
	head      *headLimiter // source of r
	r         *bufio.Reader
	expiresAt time.Time // when an idle connection may no longer be reused
	carried   carriedIDs
	bounded   bool // the receive buffer has its size
}

func newConn(nc net.Conn, addr string) *conn {
	head := &headLimiter{source: nc}
	return &conn{Conn: nc, addr: addr, head: head, r: bufio.NewReaderSize(head, bufferBytes)}
}

// isReused reports whether the connection has carried a request before the latest one.
func (c *conn) isReused() bool { return c.carried.earlier() > 0 }

// boundReceiveBuffer sets the size of the receive buffer of the kernel.
func (c *conn) boundReceiveBuffer() {
	if c.bounded {
		return
	}
	c.bounded = true
	if b, ok := c.Conn.(interface{ SetReadBuffer(int) error }); ok {
		_ = b.SetReadBuffer(receiveBuffer) // a closed connection has none
	}
}

// noPendingInput reports whether nothing has arrived on an idle connection, neither an end of file
// nor unsolicited data.
func (c *conn) noPendingInput() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = err == unix.EAGAIN
		return true
	})
	return err == nil && wouldBlock
}
