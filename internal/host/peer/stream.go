package peer

import (
	"errors"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"guavaglade.example/guavaglade/internal/host/admission"
)

const (
	// maxMessageBytes is the largest message that is accepted from a peer that dialed, in bytes.
	// The largest that peers send is a job, whose body is a fraction of it.
	maxMessageBytes = 4 << 20
	// callCost is what a call in progress is charged, in bytes, and callByteCost what each byte of
	// it is: most of it while the parameters are decoded.
	callCost     = 8 << 10
	callByteCost = 32
)

// errMessageTooLong is the error of reading a message of more than maxMessageBytes.
var errMessageTooLong = errors.New("message too long")

// messageConn is a connection that limits the size of a message. Without the limit, a message
// that never ends grows in the buffer of the decoder, which also keeps white space.
type messageConn struct {
	net.Conn
	read int // bytes since the last message ended; used by the reading goroutine only
}

// Read implements net.Conn.
func (c *messageConn) Read(p []byte) (int, error) {
	if c.read >= maxMessageBytes {
		return 0, errMessageTooLong
	}
	n, err := c.Conn.Read(p)
	c.read += n
	return n, err
}

// messageStream reads the messages of a peer that dialed.
type messageStream struct {
	jsonrpc2.ObjectStream
	conn     *messageConn
	admitted *admission.Conn // nil: the listener has no gate
}

// newMessageStream returns the stream of a connection.
func newMessageStream(c net.Conn) *messageStream {
	conn := &messageConn{Conn: c}
	return &messageStream{jsonrpc2.NewPlainObjectStream(conn), conn, admission.Of(c)}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *messageStream) ReadObject(v any) error {
	if err := s.ObjectStream.ReadObject(v); err != nil {
		return err
	}
	s.conn.read = 0
	s.admitted.EndMessage()
	return nil
}

// callCharge returns what a call in progress is charged, in bytes.
func callCharge(r *jsonrpc2.Request) int64 {
	size := len(r.Method)
	if r.Params != nil {
		size += len(*r.Params)
	}
	return callCost + callByteCost*int64(size)
}
