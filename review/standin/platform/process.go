package platform

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Test is one run: its record, its temporary folder, its loopback addresses and the
// processes that it has started.
type Test struct {
	Dir    string // temporary folder
	Subnet int    // addresses of the run are 127.Subnet.x.y
	// CPUShare is the allowance of each process as a share of a core; 0 for no limit.
	CPUShare float64
	start    time.Time
	hold     net.Listener

	mu        sync.Mutex
	record    *os.File
	processes []*Process
	broken    bool
}

// NewTest opens the record and finds a part of the loopback network that no other run
// uses.
func NewTest(record string) (*Test, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	t := &Test{Dir: dir, start: time.Now(), record: f}
	for i := range 200 {
		t.Subnet = 20 + (os.Getpid()+i)%200
		if t.hold, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:7098", t.Subnet)); err == nil {
			go t.awaitSignal()
			return t, nil
		}
	}
	return nil, err
}

// awaitSignal ends the run, and all processes, when it is told to end.
func (t *Test) awaitSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	t.End(fmt.Errorf("ended by a signal: %v", <-told))
}

// Now returns the time since the start of the run.
func (t *Test) Now() time.Duration { return time.Since(t.start) }

// Log writes a line to the record.
func (t *Test) Log(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.record, "%8.3f s  %s\n", t.Now().Seconds(), fmt.Sprintf(format, args...))
}

// Break records that the rule was broken.
func (t *Test) Break(format string, args ...any) {
	t.Log("BROKEN: "+format, args...)
	t.mu.Lock()
	t.broken = true
	t.mu.Unlock()
}

// Broken reports whether the rule was broken.
func (t *Test) Broken() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.broken
}

// End ends all processes and leaves with the status of the run: 2 if it could not run.
func (t *Test) End(err error) {
	t.mu.Lock()
	list := append([]*Process(nil), t.processes...)
	t.mu.Unlock()
	var stopped sync.WaitGroup
	for _, p := range list {
		stopped.Add(1)
		go func() {
			defer stopped.Done()
			p.Stop()
		}()
	}
	stopped.Wait()
	status := 0
	switch {
	case err != nil:
		t.Log("could not run: %v", err)
		status = 2
	case t.Broken():
		status = 1
	}
	t.Log("ends with status %d", status)
	os.RemoveAll(t.Dir)
	fmt.Printf("status %d\n", status)
	os.Exit(status)
}

// Process is one supervised process of the system. The platform starts it again when it
// ends, and kills it when its memory exceeds the limit.
type Process struct {
	Name, Role, IP string
	MemoryMB       int           // limits.memory_mb
	RestartAfter   time.Duration // the platform's short delay before it starts the process again

	test     *Test
	settings string

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	done     chan struct{}
	Kills    int   // for too much memory
	Ends     int   // by itself
	PeakMB   int64 // largest memory seen
}

// Settings holds what differs between the settings of processes.
type Settings struct {
	Name, Role, Class, IP, Zone string
	Store                       string
	App, Service                string // of a side machine
	// Later is added to the delay before the process is started again.
	Later time.Duration
}

// restartAfter is the delay before a process that has ended is started again.
const restartAfter = 500 * time.Millisecond

const commonSettings = `region=r
zones.za=r
internal_ports=7340,7355
bootstrap=true
counts_as_loss=false
limits.cores=1
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,experts
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stability_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.outer_bound_ms=5000
bounds.revoke_strict=true
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=88
bounds.cold_burst_factor=1.5
bounds.cold_slack=5
bounds.evacuation_ms=5000
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.stall_ms=1500
bounds.require_fence=false
platform.form=log
platform.writes_per_s=400
platform.reads_per_s=2000
platform.parts=12
platform.append_ms=2.0
platform.ingress_per_s=20.0
platform.egress_per_s=80.0
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
platform.partition_mb=200
platform.min_ttl_ms=1000
`

// Start starts a process of the deploy file: "target/marjorampitch ROLE".
func (t *Test) Start(s Settings) (*Process, error) {
	p := &Process{Name: s.Name, Role: s.Role, IP: s.IP, RestartAfter: restartAfter + s.Later, test: t, settings: filepath.Join(t.Dir, s.Name+".conf")}
	var b strings.Builder
	fmt.Fprintf(&b, "node=%s\nrole=%s\nmachine_class=%s\nserves=%s\nip=%s\nzone=%s\nplatform.address=%s\n", s.Name, s.Role, s.Class, s.Class, s.IP, s.Zone, s.Store)
	if s.Class == "front" {
		p.MemoryMB = 284
		fmt.Fprintf(&b, "listen.front=%s:8227\nlisten.readiness=%s:8220\nlimits.cpu_share=0.304\nlimits.memory_mb=284\nlimits.max_fds=4200\nlimits.link_mbps=1000.0\n", s.IP, s.IP)
	} else {
		p.MemoryMB = 152
		fmt.Fprintf(&b, "limits.cpu_share=0.24\nlimits.memory_mb=152\nlimits.max_fds=2048\nlimits.link_mbps=20.0\napp=%s\nservice=%s\n", s.App, s.Service)
	}
	b.WriteString(commonSettings)
	if err := os.WriteFile(p.settings, []byte(b.String()), 0o600); err != nil {
		return nil, err
	}
	t.mu.Lock()
	t.processes = append(t.processes, p)
	t.mu.Unlock()
	if err := p.launch(); err != nil {
		return nil, err
	}
	go p.watchMemory()
	if t.CPUShare > 0 {
		go p.shareProcessor(t.CPUShare)
	}
	return p, nil
}

func (p *Process) launch() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.test.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	p.cmd = exec.Command("target/marjorampitch", p.Role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MARJORAMPITCH_CONFIG=" + p.settings, "GOMAXPROCS=1"}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.test.Log("%s: process %d started: target/marjorampitch %s", p.Name, p.cmd.Process.Pid, p.Role)
	cmd, done := p.cmd, make(chan struct{})
	p.done = done
	go func() {
		err := cmd.Wait()
		close(done)
		p.mu.Lock()
		stopping := p.stopping
		if !stopping {
			p.Ends++
		}
		p.mu.Unlock()
		if stopping {
			return
		}
		p.test.Log("%s: process %d ended: %v", p.Name, cmd.Process.Pid, err)
		time.Sleep(p.RestartAfter)
		p.mu.Lock()
		stopping = p.stopping
		p.mu.Unlock()
		if !stopping {
			if err := p.launch(); err != nil {
				p.test.Log("%s: %v", p.Name, err)
			}
		}
	}()
	return nil
}

// watchMemory kills the process when its memory exceeds the limit.
func (p *Process) watchMemory() {
	for {
		time.Sleep(5 * time.Millisecond)
		p.mu.Lock()
		pid, stopping := p.cmd.Process.Pid, p.stopping
		p.mu.Unlock()
		if stopping {
			return
		}
		mb, ok := memoryMB(pid)
		if !ok {
			continue
		}
		p.mu.Lock()
		p.PeakMB = max(p.PeakMB, mb)
		p.mu.Unlock()
		if mb <= int64(p.MemoryMB) {
			continue
		}
		p.mu.Lock()
		done := p.done
		if p.cmd.Process.Pid == pid {
			p.Kills++
			p.cmd.Process.Kill() //nolint:errcheck // it may have ended
		}
		p.mu.Unlock()
		p.test.Log("%s: process %d has %d MB and may have %d: killed", p.Name, pid, mb, p.MemoryMB)
		<-done
		time.Sleep(20 * time.Millisecond)
	}
}

// memoryMB returns the resident memory of a process without its file pages.
func memoryMB(pid int) (int64, bool) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0, false
	}
	for _, line := range bytes.Split(data, []byte("\n")) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(string(rest)), " kB"), 10, 64)
			return kb >> 10, err == nil
		}
	}
	return 0, false
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd.Process.Signal(s) //nolint:errcheck // it may have ended
}

// Peak returns the largest memory seen, and how often the process was killed for it and
// ended.
func (p *Process) Peak() (mb int64, kills, ends int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.PeakMB, p.Kills, p.Ends
}

// Stop ends the process for good.
func (p *Process) Stop() {
	p.mu.Lock()
	p.stopping = true
	done := p.done
	p.cmd.Process.Signal(syscall.SIGCONT) //nolint:errcheck // it may have ended
	p.cmd.Process.Signal(syscall.SIGTERM) //nolint:errcheck // as above
	p.mu.Unlock()
	select {
	case <-done:
	case <-time.After(3 * time.Second):
		p.mu.Lock()
		p.cmd.Process.Kill() //nolint:errcheck // as above
		p.mu.Unlock()
		<-done
	}
}

// LogOf returns what a process has logged.
func (t *Test) LogOf(name string) string {
	data, _ := os.ReadFile(filepath.Join(t.Dir, name+".log"))
	return string(data)
}

// allowancePeriod is the time in which a process has its share of a core: "the core runs at
// full speed until the allowance is used up, and then runs not at all for the rest of that
// tenth of a second".
const allowancePeriod = 100 * time.Millisecond

// shareProcessor stops the process for the rest of a period once it has used its allowance.
func (p *Process) shareProcessor(share float64) {
	allowance := time.Duration(share * float64(allowancePeriod))
	pid, used, since, stopped := 0, time.Duration(0), time.Now(), false
	for {
		time.Sleep(500 * time.Microsecond)
		p.mu.Lock()
		now, stopping, done := p.cmd.Process.Pid, p.stopping, p.done
		p.mu.Unlock()
		if stopping {
			return
		}
		select {
		case <-done:
			pid = 0
			continue
		default:
		}
		total, ok := cpuTime(now)
		if !ok {
			continue
		}
		if now != pid || time.Since(since) >= allowancePeriod {
			if stopped && now == pid {
				p.Signal(syscall.SIGCONT)
			}
			pid, used, since, stopped = now, total, time.Now(), false
			continue
		}
		if !stopped && total-used >= allowance {
			stopped = true
			p.Signal(syscall.SIGSTOP)
		}
	}
}

// cpuTime returns the processor time that all threads of a process have used.
func cpuTime(pid int) (total time.Duration, ok bool) {
	tasks, err := os.ReadDir("/proc/" + strconv.Itoa(pid) + "/task")
	if err != nil {
		return 0, false
	}
	for _, task := range tasks {
		data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/task/" + task.Name() + "/schedstat")
		if err != nil {
			continue
		}
		first, _, _ := strings.Cut(string(data), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			continue
		}
		total += time.Duration(ns)
	}
	return total, true
}
