package backend

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// dialStep is the interval at which the duration of a dial is measured.
const dialStep = dialTimeout / 12

// Causes of ErrDial.
var (
	// ErrDialTimeout means that the server has not accepted within dialTimeout.
	ErrDialTimeout = eris.New("backend: dial timeout")
	// ErrPaused means that the time of the request was over when this process went on
	// after a pause. It says nothing about the server.
	ErrPaused = eris.New("backend: paused during the dial")
)

// maxPauses is the number of pauses after which the time of a dial begins anew. It bounds
// the dial on a machine that is too busy to end timers in time.
const maxPauses = 3

// runningTime measures the time for which this process has run without a pause, from what
// its timers show: one that ends late by more than a step means a pause. After maxPauses
// pauses the time goes on instead of beginning anew, and a pause counts as one step.
type runningTime struct {
	step   time.Duration
	spent  time.Duration // since the last pause
	pauses int
}

// tick records that a timer of one step has ended after elapsed.
func (r *runningTime) tick(elapsed time.Duration) {
	if elapsed <= 2*r.step {
		r.spent += elapsed
		return
	}
	r.pauses++
	if r.pauses <= maxPauses {
		r.spent = 0
	} else {
		r.spent += r.step
	}
}

// dial opens a connection. After a pause of this process the server has its whole time
// again: the connection may have been accepted meanwhile.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	measured := make(chan runningTime, 1)
	done := make(chan struct{})
	go func() { measured <- measureDial(done, cancel) }()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	close(done)
	if err == nil {
		return conn, nil
	}
	m := <-measured
	switch {
	case context.Cause(ctx) == ErrDialTimeout:
		err = ErrDialTimeout
	case ctx.Err() != nil && m.pauses > 0:
		err = ErrPaused
	}
	return nil, fmt.Errorf("%w: %w", err, ErrDial)
}

// measureDial cancels a dial after dialTimeout of running time, and returns what it has
// measured when done is closed.
func measureDial(done <-chan struct{}, cancel context.CancelCauseFunc) runningTime {
	m := runningTime{step: dialStep}
	began := time.Now()
	timer := time.NewTimer(dialStep)
	defer timer.Stop()
	for m.spent < dialTimeout {
		select {
		case <-done:
			m.tick(time.Since(began))
			return m
		case <-timer.C:
			m.tick(time.Since(began))
			began = time.Now()
			timer.Reset(dialStep)
		}
	}
	cancel(ErrDialTimeout)
	return m
}
