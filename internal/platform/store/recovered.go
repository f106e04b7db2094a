package store

import "context"

// RunUntilRecovered runs f until it ends or the channel is closed, as Monitor.Recovered returns
// one. It reports whether f was cut short; its error is then of no meaning. A call that
// was on its way through an outage would hang until its time-out.
func RunUntilRecovered(ctx context.Context, regained <-chan struct{}, f func(ctx context.Context) error) (cut bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	select {
	case err := <-done:
		return false, err
	case <-regained:
		cancel()
		<-done
		return true, nil
	}
}
