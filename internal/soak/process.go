package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"marjorampitch/internal/relay"
	"marjorampitch/platform/platformtest"
)

// process is one program of the system, started and harmed from outside.
type process struct {
	platformtest.Process
	role                 string
	store                func(platformtest.Faults) // faults of the store towards it
	front                *relay.Relay              // before a gateway; nil for a rebalancer
	binary, file, output string

	mu    sync.Mutex // guards all below
	cmd   *exec.Cmd
	done  chan struct{} // closed when the process has ended
	asked time.Time     // when it was told to stop; zero for not
}

// write makes the settings file.
func (p *process) write(dir string) error {
	p.file, p.output = filepath.Join(dir, p.Name+".conf"), filepath.Join(dir, p.Name+".log")
	f, err := os.Create(p.file)
	if err != nil {
		return err
	}
	defer f.Close()
	return p.WriteSettings(f)
}

// start starts the program unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	out, err := os.OpenFile(p.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.binary, p.role, "--settings", p.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done, p.asked = cmd, done, time.Time{}
	go func() {
		cmd.Wait() //nolint:errcheck // killed ones fail
		close(done)
	}()
	return nil
}

// running reports whether the program runs. Callers hold mu.
func (p *process) running() bool {
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

// signal sends a signal to the program, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return
	}
	if s == syscall.SIGTERM && p.asked.IsZero() {
		p.asked = time.Now()
	}
	p.cmd.Process.Signal(s) //nolint:errcheck // it may end at this moment
}

// end waits until the program has ended, and kills it after a while.
func (p *process) end(limit time.Duration) {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-time.After(limit):
		p.signal(syscall.SIGKILL)
		<-done
	}
}
