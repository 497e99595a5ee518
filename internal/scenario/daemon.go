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

// Roles of daemons, as the instance list and the command line name them.
const (
	roleEntry = "entry"
	roleSide  = "side"
)

const (
	stopLimit   = 90 * time.Second
	askLimit    = 2 * time.Second
	outputPerms = 0o644
)

// daemon is one process of the system.
type daemon struct {
	name       string
	role       string
	dataCentre string
	binary     string
	settings   string // path
	output     string // path
	listen     string
	status     string
	http       string // entries only

	cmd  *exec.Cmd     // the running process, nil before the first start
	done chan struct{} // closed when the process has ended
	err  error         // how it ended; read after done
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
[platform]
log-service = {{.Log}}
instance-list = {{.List}}
weight-store = {{.Weights}}
{{if .Backend}}[backend-server]
url = {{.Backend}}
{{end}}`))

// settingsData is what the settings of a daemon are made from.
type settingsData struct {
	Role, Name, Service, DataCentre, Listen, Status, HTTP string
	Log, List, Weights, Backend                           string
}

func (d *daemon) writeSettings(logURL, listURL, weightsURL, backendURL string) error {
	file, err := os.Create(d.settings)
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
	})
}

// start runs the process; an earlier one must have ended.
func (d *daemon) start() error {
	if d.running() {
		return eris.Errorf("%s is running", d.name)
	}
	out, err := os.OpenFile(d.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, outputPerms)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(d.binary, d.role, "--settings", d.settings)
	cmd.Stdout = out
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.cmd = cmd
	d.done = done
	go func() {
		d.err = cmd.Wait()
		close(done)
	}()
	return nil
}

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

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) error {
	if !d.running() {
		return eris.Errorf("%s is not running", d.name)
	}
	return d.cmd.Process.Signal(s)
}

// wait waits until the process has ended by itself and with success.
func (d *daemon) wait() error {
	select {
	case <-d.done:
		return eris.Wrapf(d.err, "%s", d.name)
	case <-time.After(stopLimit):
		return eris.Errorf("%s has not ended after %v", d.name, stopLimit)
	}
}

// kill ends the process at once, if it runs.
func (d *daemon) kill() {
	if d.running() {
		d.cmd.Process.Kill()
		<-d.done
	}
}

var askClient = &http.Client{Timeout: askLimit}

// ready reports whether the process says that it takes new work.
func (d *daemon) ready() bool {
	resp, err := askClient.Get("http://" + d.status + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// daemonStatus is what is read of a status page.
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
		Connected bool `json:"connected"`
	} `json:"sides"`
}

// ask reads the status page.
func (d *daemon) ask() (daemonStatus, error) {
	var st daemonStatus
	resp, err := askClient.Get("http://" + d.status + "/status?format=json")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// tail returns the last lines of the process's output.
func (d *daemon) tail(lines int) string {
	data, err := os.ReadFile(d.output)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
