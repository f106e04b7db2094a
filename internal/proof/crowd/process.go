package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"guavaglade.example/guavaglade/platform/standin"
)

// sampleInterval is short enough to end a process whose memory grows by gigabytes a second
// before the machine suffers.
const sampleInterval = 10 * time.Millisecond

// Usage is what a process holds at one moment.
type Usage struct {
	Peak    int64 // bytes, the most resident memory so far
	Held    int64 // bytes, resident memory and what its sockets have received and it has not read
	Sockets int   // open sockets and pipes
}

// Process is a process of the program.
type Process struct {
	cmd       *exec.Cmd
	addresses []string // IP:port of its listeners
	exited    chan struct{}
	mu        sync.Mutex
	worst     Usage // the most of each so far
	output    bytes.Buffer
}

// Platform starts a stand-in platform with two workers of the service refill, whose tasks take what
// the jobs in its store say. The test's cleanup stops it.
func Platform(t *testing.T) *standin.Site {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	site, err := standin.Open(ctx, "127.0.0.1:0", "refill", standin.Size{Racks: 1, PerRack: 2})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		site.Close()
	})
	site.ReadJobsFromStore()
	return site
}

// Build builds the program as it is deployed and returns its path.
func Build(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "guavaglade")
	out, err := exec.Command("go", "build", "-o", path, "guavaglade.example/guavaglade/cmd/guavaglade").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// FreeAddresses returns free IP:ports of one loopback address that no other program uses, so that
// they are still free when a process listens there.
func FreeAddresses(t *testing.T, number int) []string {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()>>8&63, os.Getpid()&255)
	var addresses []string
	for range number {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }() // at the end, so that the ports differ
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

// Start starts a process that listens at the addresses. It is watched from now on, and killed
// once it holds more than twice the limit of memory. The test's cleanup kills it.
func Start(t *testing.T, cmd *exec.Cmd, limit int64, addresses ...string) *Process {
	t.Helper()
	p := &Process{cmd: cmd, addresses: addresses, exited: make(chan struct{})}
	cmd.Stdout, cmd.Stderr = &p.output, &p.output
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = cmd.Wait() // Alive reports the exit
		close(p.exited)
	}()
	go p.watch(2 * limit)
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have exited
		<-p.exited
		if t.Failed() {
			lines := strings.Split(p.output.String(), "\n")
			t.Logf("end of the process's log:\n%s", strings.Join(lines[max(0, len(lines)-20):], "\n"))
		}
	})
	return p
}

// watch samples the usage until the process exits, or kills it at the limit.
func (p *Process) watch(limit int64) {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(sampleInterval):
		}
		u, err := p.sample()
		if err != nil {
			continue // it has just exited
		}
		p.mu.Lock()
		p.worst = Usage{max(p.worst.Peak, u.Peak), max(p.worst.Held, u.Held), max(p.worst.Sockets, u.Sockets)}
		p.mu.Unlock()
		if u.Held > limit {
			_ = p.cmd.Process.Kill()
		}
	}
}

// Worst returns the most of each figure since the start.
func (p *Process) Worst() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.worst
}

// Alive reports whether the process has not exited.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// sample reads the usage of now.
func (p *Process) sample() (Usage, error) {
	folder := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	status, err := os.ReadFile(folder + "status")
	if err != nil {
		return Usage{}, err
	}
	var u Usage
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
		switch fields[0] {
		case "VmHWM:":
			u.Peak = kilobytes << 10
		case "VmRSS:":
			u.Held = kilobytes << 10
		}
	}
	u.Held += unread(p.addresses)
	files, err := os.ReadDir(folder + "fd")
	if err != nil {
		return Usage{}, err
	}
	for _, f := range files {
		to, _ := os.Readlink(folder + "fd/" + f.Name())
		if strings.HasPrefix(to, "socket:") || strings.HasPrefix(to, "pipe:") {
			u.Sockets++
		}
	}
	return u, nil
}

// unread returns the bytes that sockets at the local addresses have received and nobody has read,
// also on connections that are not accepted yet.
func unread(addresses []string) int64 {
	local := map[string]bool{}
	for _, a := range addresses {
		if tcp, err := net.ResolveTCPAddr("tcp", a); err == nil {
			ip := tcp.IP.To4()
			local[fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)] = true
		}
	}
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = table.Close() }()
	var sum int64
	for lines := bufio.NewScanner(table); lines.Scan(); {
		const localAddress, state, queues, listening = 1, 3, 4, "0A"
		fields := strings.Fields(lines.Text())
		if len(fields) <= queues || !local[fields[localAddress]] || fields[state] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[queues], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum
}
