package admission

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"time"
)

// headerCeiling is the largest size of a request's head, in bytes. The library answers 431 to a
// longer one.
const headerCeiling = 64 << 10

// Refuse answers a request that is refused before it is handled. It has not run.
type Refuse func(w http.ResponseWriter, status int, detail string)

// Server returns a server for the connections that the gate has admitted.
func (g *Gate) Server(next http.Handler, refuse Refuse) *http.Server {
	return &http.Server{
		Handler: g.handler(next, refuse), MaxHeaderBytes: headerCeiling,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, Of(c))
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			switch admitted := Of(c); {
			case admitted == nil:
			case state == http.StateActive:
				admitted.endHead()
			case state == http.StateIdle:
				admitted.endResponse()
			}
		},
		ErrorLog: log.New(libraryLog{g}, "", 0),
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// requestConn returns the connection of a request; nil: no gate has admitted it.
func requestConn(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Decoded notes that a request was decoded and its body is no longer used, so that others can
// have the memory.
func Decoded(r *http.Request) {
	if c := requestConn(r.Context()); c != nil {
		c.decoded()
	}
}

// handler refuses requests with too large a head, and those beyond the number that may be in
// progress at once. It notes when a request was received whole.
func (g *Gate) handler(next http.Handler, refuse Refuse) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := requestConn(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if limit := g.headerBytes(); limit > 0 && headSize(r) > limit {
			g.refusals.add(reasonHeader, remoteIP(c))
			w.Header().Set("Connection", "close")
			refuse(w, http.StatusRequestHeaderFieldsTooLarge, "header too large")
			return
		}
		if g.busy() {
			g.refusals.add(reasonBusy, remoteIP(c))
			w.Header().Set("Connection", "close")
			refuse(w, http.StatusServiceUnavailable, "not accepted: too many requests in progress")
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			c.endRequest()
		} else {
			r = r.WithContext(r.Context()) // the library looks at the body of the original
			r.Body = &body{r.Body, c}
		}
		next.ServeHTTP(w, r)
	})
}

// busy reports whether as many requests are in progress as may be. If the answer of one is not
// taken, it evicts that connection instead.
func (g *Gate) busy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.serving < g.maxRequests {
		return false
	}
	v := g.unread(time.Now())
	if v == nil {
		return true
	}
	g.evict(v, reasonBusy)
	return false
}

// headSize returns the size of a request's head in bytes.
func headSize(r *http.Request) int {
	const separators = 4 // of a name and its value, and of the words of the first line
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// body is the body of a request on an admitted connection.
type body struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.endRequest()
	}
	return n, err
}

// libraryLog logs what the library reports at the debug level, as clients cause it at will.
type libraryLog struct{ gate *Gate }

// Write implements io.Writer.
func (l libraryLog) Write(line []byte) (int, error) {
	l.gate.refusals.log.V(1).Info("connection failed", "listener", l.gate.name, "error", strings.TrimSpace(string(line)))
	return len(line), nil
}
