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

// asHost is the variable that makes the test's program run as guavaglade itself.
const asHost = "SOAK_AS_HOST"

// stopTime is how long a planned stop may take: unreadyTime and stopGrace of the
// settings, and as long again for a busy machine.
const stopTime = 12 * time.Second

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

// host is one host, which is a process of its own as often as it is started.
type host struct {
	name     string
	caller   string // IP:port
	store    *proxy
	settings string // path
	log      *os.File
	mu       sync.Mutex
	process  *exec.Cmd
	over     chan struct{} // closed when the process has ended
	wanted   bool          // an end of the process was asked for
	faults   []string
}

// newHost writes a host's settings into the directory.
func newHost(dir, ip, zone, storeAddress, keyHash string, number int) (*host, error) {
	caller, peers := freePorts(ip)
	platform, _, _ := net.SplitHostPort(storeAddress) // the proxy takes no port of the host
	p, err := newProxy(platform, storeAddress)
	if err != nil {
		return nil, err
	}
	h := &host{name: fmt.Sprintf("host%d", number), store: p, caller: caller}
	h.settings = filepath.Join(dir, h.name+".ini")
	text := fmt.Sprintf(hostSettings, zone, h.caller, peers, p.address(), keyHash)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	h.log, err = os.Create(filepath.Join(dir, h.name+".log"))
	return h, err
}

// freePorts returns two free ports of an IP that nobody else uses: between this and
// the start of the host no other program can take them.
func freePorts(ip string) (one, other string) {
	var found [2]net.Listener
	for i := range found {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			panic(err) // loopback has free ports
		}
		found[i] = l
	}
	for _, l := range found {
		_ = l.Close()
	}
	return found[0].Addr().String(), found[1].Addr().String()
}

// start starts the process, unless it runs.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return
	}
	c := exec.Command(os.Args[0], "serve", "--settings", h.settings)
	c.Env = append(os.Environ(), asHost+"=1")
	c.Stdout, c.Stderr = h.log, h.log
	if err := c.Start(); err != nil {
		h.faults = append(h.faults, fmt.Sprintf("%s: %v", h.name, err))
		return
	}
	over := make(chan struct{})
	h.process, h.over, h.wanted = c, over, false
	go func() {
		err := c.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		if !h.wanted {
			h.faults = append(h.faults, fmt.Sprintf("%s ended by itself: %v", h.name, err))
		}
		var status *exec.ExitError
		if errors.As(err, &status) && status.Exited() { // not by a signal
			h.faults = append(h.faults, fmt.Sprintf("%s ended with %v", h.name, err))
		}
		h.process = nil
		close(over)
	}()
}

// signal sends a signal to the process, if it runs, and returns what is closed when
// the process has ended.
func (h *host) signal(s syscall.Signal) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		over := make(chan struct{})
		close(over)
		return over
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		h.wanted = true
	}
	_ = h.process.Process.Signal(s) // it may have ended just now
	return h.over
}

// stop ends the process as planned and notes a fault if that takes too long.
func (h *host) stop() {
	over := h.signal(syscall.SIGTERM)
	select {
	case <-over:
	case <-time.After(stopTime):
		h.mu.Lock()
		h.faults = append(h.faults, h.name+" did not end when it was told to stop")
		h.mu.Unlock()
		<-h.signal(syscall.SIGKILL)
	}
}

// ready reports whether the balancer would send callers here.
func (h *host) ready() bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	res, err := c.Get("http://" + h.caller + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
