package crowd

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Client sends what one connection of a crowd sends. The connection stays open after it
// returns.
type Client func(ctx context.Context, c net.Conn) error

// Request is the start of a request without its body and without the end of its head.
type Request struct {
	Line   string // such as "POST /path"
	Header string // lines, each with its end
}

// head returns the head with one more field.
func (r Request) head(field string) []byte {
	return []byte(r.Line + " HTTP/1.1\r\n" + r.Header + field + "\r\n\r\n")
}

// Body sends a body of the given length, without its last missing bytes, at once.
func Body(r Request, body []byte, missing int) Client {
	whole := append(r.head(fmt.Sprintf("Content-Length: %d", len(body))), body...)
	return func(_ context.Context, c net.Conn) error {
		_, err := c.Write(whole[:len(whole)-missing])
		return err
	}
}

// Pieces sends a body in pieces with a pause between two, without the last piece.
func Pieces(r Request, body []byte, size int, pause time.Duration) Client {
	head := r.head(fmt.Sprintf("Content-Length: %d", len(body)))
	return func(ctx context.Context, c net.Conn) error {
		if _, err := c.Write(head); err != nil {
			return err
		}
		for rest := body; len(rest) > size; rest = rest[size:] {
			if _, err := c.Write(rest[:size]); err != nil {
				return err
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(pause):
			}
		}
		return nil
	}
}

// Chunks sends a body in chunks, without the last one and the end.
func Chunks(r Request, body []byte, size int) Client {
	var b bytes.Buffer
	b.Write(r.head("Transfer-Encoding: chunked"))
	for rest := body; len(rest) > size; rest = rest[size:] {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", size, rest[:size])
	}
	return func(_ context.Context, c net.Conn) error {
		_, err := c.Write(b.Bytes())
		return err
	}
}

// Head sends a head with a number of fields of one byte and without its end.
func Head(r Request, fields int) Client {
	head := []byte(r.Line + " HTTP/1.1\r\n" + r.Header + strings.Repeat("a:b\r\n", fields))
	return func(_ context.Context, c net.Conn) error {
		_, err := c.Write(head)
		return err
	}
}

// Endless sends a start and then a text again and again, until the connection is closed or the
// context ends.
func Endless(start, text string) Client {
	block := []byte(strings.Repeat(text, 16<<10/len(text)))
	return func(ctx context.Context, c net.Conn) error {
		if _, err := c.Write([]byte(start)); err != nil {
			return err
		}
		for ctx.Err() == nil {
			if _, err := c.Write(block); err != nil {
				return err
			}
		}
		return nil
	}
}

// Field is the start of a head whose field Endless continues.
func Field(r Request) string { return r.Line + " HTTP/1.1\r\n" + r.Header + "A: " }

// Crowd is a number of connections to one address.
type Crowd struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Open opens connections to an address and sends what the client says on each. A connection that
// is closed or refused is not opened again, unless again is positive: then after that pause.
func Open(address string, connections int, client Client, again time.Duration) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Crowd{cancel: cancel}
	for range connections {
		w.done.Go(func() {
			for {
				stall(ctx, address, client)
				if again <= 0 || ctx.Err() != nil {
					return
				}
				time.Sleep(again)
			}
		})
	}
	return w
}

// stall connects, sends, and reads until the connection is closed or the context ends.
func stall(ctx context.Context, address string, client Client) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer func() { _ = c.Close() }()
	if client(ctx, c) != nil {
		return
	}
	for buf := make([]byte, 512); ; {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// Close closes all connections.
func (w *Crowd) Close() {
	w.cancel()
	w.done.Wait()
}
