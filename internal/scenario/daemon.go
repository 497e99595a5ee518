package scenario

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"text/template"
	"time"

	"github.com/rotisserie/eris"
)

// Roles of daemons on the instance list and the command line.
const (
	roleEntry = "entry"
	roleSide  = "side"
)

const (
	stopTimeout   = 90 * time.Second
	statusTimeout = 2 * time.Second
	outputMode    = 0o644
)

// daemon is one process of the system under test.
type daemon struct {
	name         string
	role         string
	dataCentre   string
	binary       string
	settingsPath string
	outputPath   string
	listen       string // address for the other processes
	status       string // address of the status page
	http         string // address for callers; entries only
	memoryMB     int    // of the settings; 0 for the default, as of sockets
	sockets      int

	cmd     *exec.Cmd     // the last process started; nil before the first start
	done    chan struct{} // closed when the process has ended
	exitErr error         // result of Wait; valid once done is closed
}

var settingsTemplate = template.Must(template.New("settings").Parse(`[process]
role = {{.Role}}
instance = {{.Name}}
service = {{.Service}}
data-centre = {{.DataCentre}}
listen = {{.Listen}}
status = {{.Status}}
{{if .HTTP}}http = {{.HTTP}}
{{end}}drain-wait = 2s
{{if .MemoryMB}}memory-mb = {{.MemoryMB}}
{{end}}{{if .Sockets}}sockets = {{.Sockets}}
{{end -}}
[platform]
log-service = {{.Log}}
instance-list = {{.List}}
weight-store = {{.Weights}}
{{if .Backend}}[backend-server]
url = {{.Backend}}
{{end}}`))

// settingsData are the values for settingsTemplate.
type settingsData struct {
	Role, Name, Service, DataCentre, Listen, Status, HTTP string
	Log, List, Weights, Backend                           string
	MemoryMB, Sockets                                     int
}

// writeSettings writes the settings file.
func (d *daemon) writeSettings(logURL, listURL, weightsURL, backendURL string) error {
	file, err := os.Create(d.settingsPath)
	if err != nil {
		return err
	}
	defer file.Close()
	return settingsTemplate.Execute(file, settingsData{
		Role:       d.role,
		Name:       d.name,
		Service:    service,
		DataCentre: d.dataCentre,
		Listen:     d.listen,
		Status:     d.status,
		HTTP:       d.http,
		Log:        logURL,
		List:       listURL,
		Weights:    weightsURL,
		Backend:    backendURL,
		MemoryMB:   d.memoryMB,
		Sockets:    d.sockets,
	})
}

// start starts the process. It returns an error if an earlier one is still running.
func (d *daemon) start() error {
	if d.running() {
		return eris.Errorf("start %s: already running", d.name)
	}
	out, err := os.OpenFile(d.outputPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, outputMode)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(d.binary, d.role, "--settings", d.settingsPath)
	cmd.Stdout = out
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.cmd = cmd
	d.done = done
	go func() {
		d.exitErr = cmd.Wait()
		close(done)
	}()
	return nil
}

// running reports whether the process is running.
func (d *daemon) running() bool {
	if d.cmd == nil {
		return false
	}
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process. It returns an error if the process is not
// running.
func (d *daemon) signal(s syscall.Signal) error {
	if !d.running() {
		return eris.Errorf("signal %s: not running", d.name)
	}
	return d.cmd.Process.Signal(s)
}

// wait waits until the process has exited. It returns an error if the process
// failed or has not exited after stopTimeout.
func (d *daemon) wait() error {
	select {
	case <-d.done:
		return eris.Wrapf(d.exitErr, "wait for exit of %s", d.name)
	case <-time.After(stopTimeout):
		return eris.Errorf("%s has not exited after %v", d.name, stopTimeout)
	}
}

// Process describes a process of a Testbed.
type Process struct {
	PID    int    // 0 if it is not running
	HTTP   string // address for callers; empty for a sidecar
	Status string // address of the status page
	Output string // path of its output
}

// Process returns the process with this name. It panics if there is none.
func (tb *Testbed) Process(name string) Process {
	d := tb.daemons[name]
	p := Process{HTTP: d.http, Status: d.status, Output: d.outputPath}
	if d.running() {
		p.PID = d.cmd.Process.Pid
	}
	return p
}

// kill kills the process if it is running and waits for its exit.
func (d *daemon) kill() {
	if d.running() {
		d.cmd.Process.Kill()
		<-d.done
	}
}

var statusClient = &http.Client{Timeout: statusTimeout}

// ready reports whether the readiness endpoint says that the process accepts new
// work.
func (d *daemon) ready() bool {
	resp, err := statusClient.Get("http://" + d.status + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// daemonStatus holds the fields of a status page that scripts use.
type daemonStatus struct {
	ConfigOffset int    `json:"config_offset"`
	Current      bool   `json:"current"`
	Leaving      bool   `json:"leaving"`
	Refuses      string `json:"refuses"`
	Cold         bool   `json:"cold"`
	Limit        int    `json:"limit"`
	Running      int    `json:"running"`
	Entries      int    `json:"entries"`
	Sides        []struct {
		Connected   bool `json:"connected"`
		BackendDown bool `json:"backend_down"`
	} `json:"sides"`
}

// fetchStatus reads the status page.
func (d *daemon) fetchStatus() (daemonStatus, error) {
	var st daemonStatus
	resp, err := statusClient.Get("http://" + d.status + "/status?format=json")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// tail returns the last lines of the process's output, or the error of reading it.
func (d *daemon) tail(lines int) string {
	data, err := os.ReadFile(d.outputPath)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
