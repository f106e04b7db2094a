package store

import "context"

// RunUntilRecovered runs f until it returns or the channel, which is one that
// Monitor.Recovered returned, is closed. In the latter case it cancels f's context, waits
// until f returns and drops its error. It reports whether f was interrupted. A call that
// was in flight during an outage would otherwise hang until its timeout.
func RunUntilRecovered(ctx context.Context, recovered <-chan struct{}, f func(ctx context.Context) error) (interrupted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	select {
	case err := <-done:
		return false, err
	case <-recovered:
		cancel()
		<-done
		return true, nil
	}
}
