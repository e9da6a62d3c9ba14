package fakes

import (
	"fmt"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// RefusingPort reserves a TCP port of the loopback interface on which every connection is refused. The
// port stays bound, so that no other process can listen on it.
type RefusingPort struct {
	Address string // IP:port
	fd      int
}

// NewRefusingPort binds a free port without listening on it.
func NewRefusingPort() (*RefusingPort, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "open a socket")
	}
	r := &RefusingPort{fd: fd}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		_ = r.Close()
		return nil, errors.Wrap(err, "bind a free port")
	}
	addr, err := unix.Getsockname(fd)
	if err != nil {
		_ = r.Close()
		return nil, errors.Wrap(err, "read the bound port")
	}
	bound, ok := addr.(*unix.SockaddrInet4)
	if !ok {
		_ = r.Close()
		return nil, errors.Errorf("bound socket has an address of type %T", addr)
	}
	r.Address = fmt.Sprintf("127.0.0.1:%d", bound.Port)
	return r, nil
}

// Close releases the port.
func (r *RefusingPort) Close() error { return unix.Close(r.fd) }
