package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB     = 284
	restartDelay = 300 * time.Millisecond
	graceTime    = 6 * time.Second
)

// host is an entry host: a machine on which the platform runs the project's program.
type host struct {
	mu      sync.Mutex
	name    string
	zone    string
	ip      string
	front   string
	peers   string
	path    string // of the settings file
	command *exec.Cmd
	up      bool
	ending  bool // the case is over: it isn't started again
	killed  bool // the case has killed the process
	ownEnds int  // processes that ended by themselves, also for exceeding their memory
	peakMB  int
}

// platform starts the hosts, starts them again when they have ended, and ends those that exceed their memory.
type platform struct {
	dir    string
	root   string // of the repository
	store  *store
	rec    *record
	hosts  []*host
	client *http.Client
	next   int
	wg     sync.WaitGroup
}

var zones = []string{"leon-nave-a", "queretaro-nave-b", "celaya-nave-c"}

// freePorts returns ports that are free at the address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	var open []net.Listener
	defer func() {
		for _, l := range open {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		open = append(open, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// openPlatform starts a number of hosts.
func openPlatform(root string, s *store, rec *record, n int) (*platform, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	p := &platform{dir: dir, root: root, store: s, rec: rec, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if _, err := os.Stat(filepath.Join(root, "target/guavaglade")); err != nil {
		return nil, fmt.Errorf("the program isn't built: %w", err)
	}
	for i := range n {
		h := &host{name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)], ip: fmt.Sprintf("127.0.1.%d", i+1)}
		ports, err := freePorts(h.ip, 4)
		if err != nil {
			return nil, err
		}
		h.front, h.peers = net.JoinHostPort(h.ip, strconv.Itoa(ports[0])), net.JoinHostPort(h.ip, strconv.Itoa(ports[2]))
		h.path = filepath.Join(dir, h.name+".toml")
		if err := os.WriteFile(h.path, []byte(p.settings(h, ports)), 0o600); err != nil {
			return nil, err
		}
		p.hosts = append(p.hosts, h)
	}
	for _, h := range p.hosts {
		p.wg.Add(1)
		go p.run(h)
	}
	return p, nil
}

// settings returns the settings file of a host, as DEPLOY.md shows it.
func (p *platform) settings(h *host, ports []int) string {
	return fmt.Sprintf(`node = %q
role = "host"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "mx-bajio"
internalPorts = [%d,%d]
bootstrap = true
inFaultBudget = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform"]
orders = "invoke"
[zones]
leon-nave-a = "mx-bajio"
queretaro-nave-b = "mx-bajio"
celaya-nave-c = "mx-bajio"
[listen]
front = "%s"
ready = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
recoveryS = 12
holdMaxMs = 6000
stopMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farFactor = 3
checkpointS = 2
restoreMs = 100
noticeMs = 4500
fencing = true
leaseTtlMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
reclaimMs = 2900
[platform]
address = %q
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 8.0
partitionWritesS = 150
rowBytes = 65536
across = false
historyS = 20
`, h.name, h.ip, h.zone, ports[2], ports[3], h.front, h.ip, ports[1], memoryMB, p.store.address)
}

// run keeps a host's process running until the case is over.
func (p *platform) run(h *host) {
	defer p.wg.Done()
	logFile, err := os.Create(filepath.Join(p.dir, h.name+".log"))
	if err != nil {
		p.rec.say("host %s: %v", h.name, err)
		return
	}
	defer func() { _ = logFile.Close() }()
	for {
		h.mu.Lock()
		if h.ending {
			h.mu.Unlock()
			return
		}
		c := exec.Command(filepath.Join(p.root, "target/guavaglade"), "host")
		c.Dir, c.Stdout, c.Stderr = p.root, logFile, logFile
		c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GUAVAGLADE_BOOT=" + h.path}
		if err := c.Start(); err != nil {
			h.mu.Unlock()
			p.rec.say("host %s not started: %v", h.name, err)
			return
		}
		h.command, h.up, h.killed = c, true, false
		h.mu.Unlock()
		p.rec.line("host %s started, process %d", h.name, c.Process.Pid)
		over := make(chan struct{})
		go p.watchMemory(h, c.Process.Pid, over)
		err := c.Wait()
		close(over)
		h.mu.Lock()
		h.up = false
		if !h.killed && !h.ending {
			h.ownEnds++
			p.rec.line("host %s ended by itself (%v), for the %d. time", h.name, err, h.ownEnds)
		}
		h.mu.Unlock()
		time.Sleep(restartDelay)
	}
}

// watchMemory kills the process when it exceeds its memory, as DEPLOY.md says of the platform.
func (p *platform) watchMemory(h *host, pid int, over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case <-time.After(20 * time.Millisecond):
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			continue
		}
		mb := 0
		for _, line := range strings.Split(string(text), "\n") {
			if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
				kb, _ := strconv.Atoi(f[1])
				mb = kb / 1024
			}
		}
		h.mu.Lock()
		h.peakMB = max(h.peakMB, mb)
		h.mu.Unlock()
		if mb > memoryMB {
			p.rec.line("host %s uses %d MB, over its memory of %d MB: the platform kills the process", h.name, mb, memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// signal sends a signal to a host's process. A kill doesn't count as an end by itself.
func (p *platform) signal(h *host, s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.up {
		return
	}
	h.killed = h.killed || s == syscall.SIGKILL || s == syscall.SIGTERM
	p.rec.say("host %s: %v", h.name, s)
	_ = h.command.Process.Signal(s)
}

// leader returns the host that last wrote the leader row, or nil.
func (p *platform) leader() *host {
	var row struct {
		Address string `json:"address"`
	}
	_ = json.Unmarshal(p.store.get("leader", "", "leader"), &row)
	for _, h := range p.hosts {
		if h.peers == row.Address {
			return h
		}
	}
	return nil
}

// close ends all hosts.
func (p *platform) close() {
	for _, h := range p.hosts {
		h.mu.Lock()
		h.ending = true
		if h.up {
			_ = h.command.Process.Kill()
		}
		h.mu.Unlock()
	}
	p.wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.dir)
	} else {
		fmt.Println("logs:", p.dir)
	}
}

const (
	virtualHost = "recarga.example"
	prefix      = "/ruta-envase/"
	apiKey      = "key-salones"
)

// configure writes a configuration with one queue and one tenant.
func (p *platform) configure(version int, maxAttempts int) {
	p.store.put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "ruta-envase", "host": virtualHost, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "service": service,
			"priority": 2, "maxAttempts": maxAttempts, "slackFactor": 3.0, "targetCompletionMs": 3000, "public": false,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 64, "rejectsOverload": false}},
		"tenants":  []map[string]any{{"name": "salones", "apiKeys": []string{apiKey}, "priority": 1, "guaranteed": map[string]int{"gpu": 16}}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

const service = "servicio-recarga"

// errNoAnswer means that a call got no complete answer.
var errNoAnswer = errors.New("no answer")

// callAt sends a client's call to one host.
func (p *platform) callAt(h *host, method, id string, body any, timeout time.Duration) (int, string, error) {
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, "", err
		}
		content = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+h.front+prefix+id, content)
	if err != nil {
		return 0, "", err
	}
	req.Host = virtualHost
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := *p.client
	client.Timeout = timeout
	res, err := client.Do(req)
	if err != nil {
		p.rec.line("client: %s %s at %s: no answer (%v)", method, id, h.name, err)
		return 0, "", errNoAnswer
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		p.rec.line("client: %s %s at %s: no complete answer (%v)", method, id, h.name, err)
		return 0, "", errNoAnswer
	}
	p.rec.line("client: %s %s at %s: %d %s", method, id, h.name, res.StatusCode, strings.TrimSpace(string(b)))
	return res.StatusCode, string(b), nil
}

// call sends a client's call to a host that runs; the next call goes to the next host.
func (p *platform) call(method, id string, body any) (int, string, error) {
	for range len(p.hosts) {
		p.next++
		h := p.hosts[p.next%len(p.hosts)]
		h.mu.Lock()
		up := h.up
		h.mu.Unlock()
		if up {
			return p.callAt(h, method, id, body, 3*time.Second)
		}
	}
	return 0, "", errNoAnswer
}

// submit hands a job in, again after no answer, 429, 502, 503 and 504, until it is accepted or the time is up.
func (p *platform) submit(id string, body any, within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if status, _, err := p.call(http.MethodPost, id, body); err == nil && status/100 == 2 {
			return true
		}
	}
	return false
}

// cancel cancels a job, again until this is acknowledged or the time is up.
func (p *platform) cancel(id string, within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if status, _, err := p.call(http.MethodDelete, id, nil); err == nil && (status/100 == 2 || status == http.StatusGone) {
			return true
		}
	}
	return false
}

// state asks for the state of a job; empty: no state was answered.
func (p *platform) state(id string) (string, int) {
	status, text, err := p.call(http.MethodGet, id, nil)
	if err != nil {
		return "", 0
	}
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &body)
	return body.State, status
}

// awaitState asks for the state of a job until it is as wanted or the time is up.
func (p *platform) awaitState(id, want string, within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if s, _ := p.state(id); s == want {
			return true
		}
	}
	return false
}
