package admission

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBuffer is the size of the buffer in which a socket holds what was not read yet, in
// bytes. The kernel takes twice that for its own data.
const receiveBuffer = 8 << 10

// Listen opens a listener at IP:port whose connections hold little that was received and not
// read. That counts as memory of the process, also before a connection is accepted.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			// Without it connections work as well.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}
