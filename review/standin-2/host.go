package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record writes what happens to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// host is one process of the system.
type host struct {
	name, front, ready, settings string
	cmd                          *exec.Cmd
}

// site is a deployment with its stand-ins.
type site struct {
	log     *record
	store   *store
	fleet   *fleet
	hosts   []*host
	dir     string // for settings and logs
	advice  string
	version int
	rng     *rand.Rand
}

var zones = []string{"leon-nave-a", "queretaro-nave-b", "celaya-nave-c"}

// openSite starts the store, racks of workers and hosts.
func openSite(log *record, racks, hosts int) (*site, error) {
	s := &site{log: log, store: newStore(), rng: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))}
	s.fleet = newFleet(s.store, log)
	var err error
	if s.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	if err := s.fleet.launch(racks, zones); err != nil {
		return nil, err
	}
	time.Sleep(200 * time.Millisecond) // the registrations are there
	for i := range hosts {
		if err := s.startHost(i); err != nil {
			return s, err
		}
	}
	return s, nil
}

// freePort returns a port that is free at the IP.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// startHost writes the settings of a host and starts its process, as the deploy file says.
func (s *site) startHost(i int) error {
	ip := fmt.Sprintf("127.%d.%d.%d", 20+s.rng.IntN(200), 1+s.rng.IntN(250), 10+i)
	var ports [3]int
	for k := range ports {
		var err error
		if ports[k], err = freePort(ip); err != nil {
			return err
		}
	}
	address, err := s.store.serve("127.0.0.1")
	if err != nil {
		return err
	}
	h := &host{name: fmt.Sprintf("edge-%s-%d", zones[i%3], i/3+1), front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1])}
	h.settings = filepath.Join(s.dir, h.name+".toml")
	text := fmt.Sprintf(`node = %q
role = "host"
machineClass = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "mx-bajio"
internalPorts = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"]
orders = "invoke"
advice = %q
[zones]
leon-nave-a = "mx-bajio"
queretaro-nave-b = "mx-bajio"
celaya-nave-c = "mx-bajio"
[listen]
front = %q
ready = %q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
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
revokeStrict = false
revokeMs = 5000
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
moveS = 1.5
maintenanceS = 2
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
`, h.name, ip, zones[i%3], ports[2], ports[2]+1, s.advice, h.front, h.ready, address)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(s.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/guavaglade", "host")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GUAVAGLADE_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the case
	if err := h.cmd.Start(); err != nil {
		return err
	}
	s.log.line("host %s started", h.name)
	s.hosts = append(s.hosts, h)
	return nil
}

// close ends the processes of all hosts and removes their files, unless KEEP is set.
func (s *site) close() {
	for _, h := range s.hosts {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// awaitReady waits until all hosts report themselves ready.
func (s *site) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, h := range s.hosts {
		for {
			res, err := httpClient.Get("http://" + h.ready + "/readiness")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// queue is a route of the configuration.
type queue struct {
	name, prefix string
	priority     int
	public       bool
	objectiveMS  int
}

// tenant is a tenant of the configuration.
type tenant struct {
	name string
	keys []string
	gpu  int // guaranteed
}

const virtualHost = "nony24.example"

// configure writes the next version of the configuration.
func (s *site) configure(queues []queue, tenants []tenant) {
	s.version += 3
	routes, list := []map[string]any{}, []map[string]any{}
	for _, q := range queues {
		routes = append(routes, map[string]any{
			"name": q.name, "host": virtualHost, "pathPrefix": q.prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetCompletionMs": q.objectiveMS,
			"priority": q.priority, "service": s.fleet.service, "maxAttempts": 3, "slackFactor": 1.5, "public": q.public,
		})
	}
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t.name, "apiKeys": t.keys, "guaranteed": map[string]int{"gpu": t.gpu}})
	}
	value, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": routes, "tenants": list,
		"services": []map[string]any{{"name": s.fleet.service, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "rejectsOverload": false, "standby": false}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.store.put(rowKey{"op", "", "config"}, value)
	s.log.line("operator: configuration %d acknowledged: %d routes, tenants %v", s.version, len(queues), tenants)
}

var httpClient = &http.Client{Timeout: 3 * time.Second}

// call sends a client's request to a host.
func (s *site) call(h *host, method, path, key string, body any) (int, string) {
	var in io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		in = bytes.NewReader(b)
	}
	r, err := http.NewRequest(method, "http://"+h.front+path, in)
	if err != nil {
		return 0, err.Error()
	}
	r.Host = virtualHost
	r.Header.Set("X-Deadline-Ms", "3000")
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := httpClient.Do(r)
	if err != nil {
		s.log.line("client: %s %s key %q at %s: %v", method, path, key, h.name, err)
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	text, _ := io.ReadAll(res.Body)
	text = bytes.TrimSpace(text)
	s.log.line("client: %s %s key %q at %s: %d %s", method, path, key, h.name, res.StatusCode, text)
	return res.StatusCode, string(text)
}

// anyHost returns a host as the balancer would.
func (s *site) anyHost() *host { return s.hosts[s.rng.IntN(len(s.hosts))] }

// newID returns an id as a client chooses it.
func (s *site) newID() string { return fmt.Sprintf("%016x", s.rng.Uint64()) }

// submit hands a job in until it is accepted, and returns its id and when the acceptance came.
func (s *site) submit(prefix, key string, steps []*step, more map[string]any) (string, time.Time, error) {
	id := s.newID()
	s.fleet.mu.Lock()
	s.fleet.jobs[id] = steps
	s.fleet.mu.Unlock()
	body := map[string]any{"spec": "review", "steps": steps}
	for k, v := range more {
		body[k] = v
	}
	for range 10 {
		status, _ := s.call(s.anyHost(), http.MethodPost, prefix+id, key, body)
		if status/100 == 2 {
			return id, time.Now(), nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id, time.Time{}, fmt.Errorf("job %s was not accepted", id)
}
