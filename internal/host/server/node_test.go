package server

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// TestAskGivenUp tells of a peer whose connection breaks while the loop is busy.
// Its call has returned with an error; what it asked for must not be done after
// that, nor write to what the call has returned.
func TestAskGivenUp(t *testing.T) {
	is := is.New(t)
	n := &Node{work: make(chan func(), 1), ended: make(chan struct{})}
	n.work <- func() {} // the loop is busy
	ctx, cancel := context.WithCancel(context.Background())
	ran := false
	answered := make(chan error)
	go func() { answered <- n.ask(ctx, func() { ran = true }) }()
	(<-n.work)()
	late := <-n.work
	cancel()
	is.True(errors.Is(<-answered, context.Canceled))
	late()
	is.True(!ran)
}
