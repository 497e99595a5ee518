package soak

import (
	"os"
	"path/filepath"

	"marjorampitch/internal/child"
	"marjorampitch/internal/relay"
	"marjorampitch/platform/platformtest"
)

// process is a gateway or rebalancer process under test.
type process struct {
	child.Process
	platformtest.Settings
	role           string
	setStoreFaults func(platformtest.Faults) // sets the faults of the store for this process
	frontRelay     *relay.Relay              // in front of a gateway; nil for a rebalancer
}

// writeSettings writes the settings file to dir and sets the command line.
func (p *process) writeSettings(dir string) error {
	path := filepath.Join(dir, p.Name+".conf")
	p.Args, p.Output = []string{p.role, "--settings", path}, filepath.Join(dir, p.Name+".log")
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return p.WriteSettings(f)
}
