package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// asHostVariable is the environment variable that makes the test binary run as guavaglade.
const asHostVariable = "SOAK_AS_HOST"

// stopTimeout bounds a planned stop: unreadyTime and stopGrace of the settings, and as
// long again for a busy machine.
const stopTimeout = 12 * time.Second

const hostSettings = `[host]
zone = %s
callerAddress = %s
peerAddress = %s
[platform]
address = %s
[operator]
keyHash = %s
[limits]
unreadyTime = 500ms
stopGrace = 5s
maxWait = 10s
`

// host is one host. Each start runs it as a new process.
type host struct {
	name         string
	caller       string // IP:port
	store        *proxy
	settings     string // path
	log          *os.File
	mu           sync.Mutex
	process      *exec.Cmd     // nil if none runs
	done         chan struct{} // closed when the process has exited
	endRequested bool          // the process was signalled to exit
	violations   []string
}

// newHost writes the settings of a host into the directory, and opens its log there and its
// proxy to the store. It does not start the host.
func newHost(dir, ip, zone, storeAddress, keyHash string, number int) (*host, error) {
	caller, peer := freePorts(ip)
	platform, _, _ := net.SplitHostPort(storeAddress) // on the host's IP the proxy could take one of its ports
	p, err := newProxy(platform, storeAddress)
	if err != nil {
		return nil, err
	}
	h := &host{name: fmt.Sprintf("host%d", number), store: p, caller: caller}
	h.settings = filepath.Join(dir, h.name+".ini")
	text := fmt.Sprintf(hostSettings, zone, h.caller, peer, p.address(), keyHash)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	h.log, err = os.Create(filepath.Join(dir, h.name+".log"))
	return h, err
}

// freePorts returns two free ports of an IP that no other program uses, so they are still
// free when the host starts.
func freePorts(ip string) (caller, peer string) {
	var listeners [2]net.Listener
	for i := range listeners {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			panic(err) // loopback has free ports
		}
		listeners[i] = l
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	return listeners[0].Addr().String(), listeners[1].Addr().String()
}

// start starts the process unless it is running. It records a violation if the start fails,
// and later if the process exits unasked or with an error status.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return
	}
	c := exec.Command(os.Args[0], "serve", "--settings", h.settings)
	c.Env = append(os.Environ(), asHostVariable+"=1")
	c.Stdout, c.Stderr = h.log, h.log
	if err := c.Start(); err != nil {
		h.violations = append(h.violations, fmt.Sprintf("%s: start: %v", h.name, err))
		return
	}
	done := make(chan struct{})
	h.process, h.done, h.endRequested = c, done, false
	go func() {
		err := c.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.endRequested {
			h.violations = append(h.violations, fmt.Sprintf("%s exited unexpectedly: %v", h.name, err))
		}
		var status *exec.ExitError
		if errors.As(err, &status) && status.Exited() { // not killed by a signal
			h.violations = append(h.violations, fmt.Sprintf("%s failed: %v", h.name, err))
		}
		h.process = nil
		close(done)
	}()
}

// signal sends a signal to the process if it is running. It returns a channel that is
// closed when the process has exited. After SIGKILL or SIGTERM an exit is no violation.
func (h *host) signal(s syscall.Signal) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		done := make(chan struct{})
		close(done)
		return done
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.endRequested = true
	}
	_ = h.process.Process.Signal(s) // it may have just exited
	return h.done
}

// stop performs a planned stop and waits until the process has exited. If that exceeds
// stopTimeout, it records a violation and kills the process.
func (h *host) stop() {
	done := h.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(stopTimeout):
		h.mu.Lock()
		h.violations = append(h.violations, h.name+" did not exit in time after SIGTERM")
		h.mu.Unlock()
		<-h.signal(syscall.SIGKILL)
	}
}

// ready reports whether a load balancer would send callers to the host.
func (h *host) ready() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	res, err := c.Get("http://" + h.caller + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
