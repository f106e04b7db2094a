package soak

import (
	"context"
	"errors"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/operator/client"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/request"
)

// cancelAt cancels a job at a host until that is answered, and reports whether it was, by the time given.
func cancelAt(h *host, id string, until time.Time) bool {
	for time.Now().Before(until) {
		ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
		err := client.New([]string{h.caller}, accountKey, nil).Cancel(ctx, id)
		cancel()
		var answer *client.Error
		if err == nil || errors.As(err, &answer) && answer.Status == http.StatusNotFound {
			return true
		}
		time.Sleep(pause)
	}
	return false
}

// Guards against a job that runs after its cancellation was answered: the write of its row is held up in the
// network of a host that is stopped and then killed, and arrives when all others have been restarted.
func TestWriteHeldUpBeyondCancellation(t *testing.T) {
	dir, err := os.MkdirTemp(*logDir, "soak-cancel-")
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	d := newDeployment(ctx, t, dir)
	defer d.shutDown()
	d.changeConfig(time.Now().Add(settleTimeout))
	for _, h := range d.hosts {
		if err := d.awaitConfig(h); err != nil {
			t.Fatal(err)
		}
	}
	first, others := d.hosts[0], d.hosts[1:]
	r := request.Request{RequestID: "held", Service: "refill", Job: "label", Input: []byte(taskInputs["label"])}
	id := request.JobID("norte", r.RequestID)

	first.store.set(modeHoldRequests)
	submitted := make(chan error, 1)
	go func() {
		submitCtx, cancel := context.WithTimeout(ctx, tryTimeout)
		defer cancel()
		_, err := client.New([]string{first.caller}, accountKey, nil).Submit(submitCtx, r, 0)
		submitted <- err
	}()
	time.Sleep(pause) // the first call to the store is in the network, no peer has been asked yet
	first.signal(syscall.SIGSTOP)
	if err := <-submitted; err == nil {
		t.Fatal("accepted without the store")
	}
	if !cancelAt(others[0], string(id), time.Now().Add(settleTimeout)) {
		t.Fatal("cancellation not answered")
	}
	for _, h := range others {
		<-h.signal(syscall.SIGKILL)
	}
	for _, h := range others {
		h.start()
	}
	first.store.set(modePass)
	for _, h := range others {
		if err := d.awaitConfig(h); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(2 * time.Second) // two scans of the leader, and a run
	<-first.signal(syscall.SIGKILL)
	first.start()
	d.site.Shared.Do(func(p *pool.Pool, _ time.Time) {
		if n := p.StartsOf(id); n > 0 {
			t.Errorf("%d starts of job %s after its cancellation was answered; logs: %s", n, id, dir)
		}
	})
	_, err = client.New([]string{others[1].caller}, accountKey, nil).Submit(ctx, r, 0)
	var answer *client.Error
	if !errors.As(err, &answer) || answer.Status != http.StatusGone {
		t.Errorf("submission under the cancelled id: %v, want 410", err)
	}
	for _, v := range d.check() {
		t.Error(v)
	}
	if !t.Failed() {
		_ = os.RemoveAll(dir) // a directory that stays is harmless
	}
}
