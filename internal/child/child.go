// Package child runs the programs that tests and the soak start, and ends them.
package child

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is a program that can be started again after it has ended. It is safe for
// concurrent use.
type Process struct {
	Binary string   // path of the program
	Args   []string // without the program's name
	Output string   // file to which standard output and standard error are appended

	mu            sync.Mutex // guards the fields below
	cmd           *exec.Cmd
	done          chan struct{} // closed when the process has ended
	stopRequested time.Time     // time of the first SIGTERM; zero if none was sent
}

// Start starts the program unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	out, err := os.OpenFile(p.Output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.Binary, p.Args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.stopRequested = cmd, done, time.Time{}
	go func() {
		cmd.Wait() //nolint:errcheck // a killed process returns an error
		close(done)
	}()
	return nil
}

// PID returns the id of the process while the program is running; 0 otherwise.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	return p.cmd.Process.Pid
}

// running reports whether the program is running. Callers must hold p.mu.
func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the program if it is running.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return
	}
	if s == syscall.SIGTERM && p.stopRequested.IsZero() {
		p.stopRequested = time.Now()
	}
	p.cmd.Process.Signal(s) //nolint:errcheck // the process may exit concurrently
}

// StopRequested returns when the running program got its first SIGTERM, zero for none, and
// a channel that is closed when it has ended; nil if it was never started.
func (p *Process) StopRequested() (time.Time, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopRequested, p.done
}

// WaitOrKill waits for the program to exit and kills it after limit.
func (p *Process) WaitOrKill(limit time.Duration) {
	_, done := p.StopRequested()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-time.After(limit):
		p.Signal(syscall.SIGKILL)
		<-done
	}
}
