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

// process is a gateway or rebalancer process under test.
type process struct {
	platformtest.Process
	role                         string
	setStoreFaults               func(platformtest.Faults) // sets the faults of the store for this process
	frontRelay                   *relay.Relay              // in front of a gateway; nil for a rebalancer
	binary, settingsFile, output string

	mu            sync.Mutex // guards the fields below
	cmd           *exec.Cmd
	done          chan struct{} // closed when the process has ended
	stopRequested time.Time     // time of the first SIGTERM; zero if none was sent
}

// writeSettings writes the settings file to dir.
func (p *process) writeSettings(dir string) error {
	p.settingsFile, p.output = filepath.Join(dir, p.Name+".conf"), filepath.Join(dir, p.Name+".log")
	f, err := os.Create(p.settingsFile)
	if err != nil {
		return err
	}
	defer f.Close()
	return p.WriteSettings(f)
}

// start starts the program unless it is running.
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
	cmd := exec.Command(p.binary, p.role, "--settings", p.settingsFile)
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

// running reports whether the program is running. Callers must hold p.mu.
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

// signal sends a signal to the program if it is running.
func (p *process) signal(s syscall.Signal) {
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

// waitOrKill waits for the program to exit and kills it after limit.
func (p *process) waitOrKill(limit time.Duration) {
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
