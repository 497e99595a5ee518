package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/template"
	"time"
)

// program is the program of the deploy file, from the root of the repository.
const program = "target/marjorampitch"

// Sizes of the machines, as in the site that the cases name.
const (
	frontMemoryMB = 284
	sideMemoryMB  = 152
)

var settings = template.Must(template.New("settings").Parse(`node={{.Name}}
role={{.Role}}
ip={{.IP}}
zone={{.Zone}}
region=dk-east
zones.dk-east-a=dk-east
zones.dk-east-b=dk-east
zones.dk-east-c=dk-east
internal_ports=7340,7355
limits.cpu_share=0.304
limits.cores=1
limits.memory_mb={{.MemoryMB}}
limits.max_fds=4100
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.stability_window_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=94
bounds.recovery_s=12
bounds.require_fence=false
platform.address={{.Store}}
platform.form=log
{{if .App}}app={{.App}}
service={{.Service}}
limits.link_mbps=20.0
{{else}}listen.front={{.IP}}:8200
listen.readiness={{.IP}}:8201
limits.link_mbps=1000.0
{{end}}`))

// process is one process of the system, on a machine of its own.
type process struct {
	Name, Role, IP, Zone, Store, App, Service string
	MemoryMB                                  int

	dir    string
	rec    *record
	mu     sync.Mutex // guards the fields below
	cmd    *exec.Cmd
	exited chan struct{} // closed when cmd has ended
}

// start starts the process.
func (p *process) start() error {
	path := filepath.Join(p.dir, p.Name+".conf")
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	err = settings.Execute(f, p)
	f.Close()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(program, p.Role)
	cmd.Env = append(os.Environ(), "MARJORAMPITCH_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		cmd.Wait() //nolint:errcheck // how it ends is of no interest
		close(exited)
	}()
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s) //nolint:errcheck // it may have ended
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// residentMB returns the resident memory of the process.
func (p *process) residentMB() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// killAll ends all processes.
func killAll(list []*process) {
	for _, p := range list {
		p.signal(syscall.SIGKILL)
	}
	for _, p := range list {
		p.kill()
	}
}

// startAll starts all processes within 0.3 s.
func startAll(list []*process) error {
	for _, p := range list {
		if err := p.start(); err != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}
