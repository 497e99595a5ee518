// Command scale measures the processor time and memory of many idle processes, as
// reported by the metrics on their status ports. scripts/scale.sh starts the
// processes.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"

	"marjorampitch/internal/scrape"
)

// Metrics of the Prometheus process collector.
const (
	cpuMetric    = "process_cpu_seconds_total"
	memoryMetric = "process_resident_memory_bytes"
)

// Limits of the wait for readiness.
const (
	readyTimeout      = 60 * time.Second // for all processes together
	readyPollInterval = 100 * time.Millisecond
)

// usage is the resource usage of one process.
type usage struct {
	cpu    float64 // seconds since its start
	memory float64 // resident bytes
}

// options are the command line options.
type options struct {
	host          string
	firstPort     int // status port of the first process
	entries       int
	sides         int
	settle, watch time.Duration
}

func main() {
	var o options
	cmd := &cobra.Command{
		Use:           "scale",
		Short:         "Measure the resource usage of idle entries and sidecars",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return o.run() },
	}
	f := cmd.Flags()
	f.StringVar(&o.host, "host", "127.0.0.1", "IP address of the processes")
	f.IntVar(&o.firstPort, "first", 0, "status port of the first process; those of the others follow, entries before sidecars")
	f.IntVar(&o.entries, "entries", 0, "number of entries")
	f.IntVar(&o.sides, "sides", 0, "number of sidecars")
	f.DurationVar(&o.settle, "settle", 5*time.Second, "time from readiness to the first reading")
	f.DurationVar(&o.watch, "watch", 10*time.Second, "time between the first and the second reading")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

// run waits until all processes are ready, reads their usage twice and prints a
// summary.
func (o *options) run() error {
	start := time.Now()
	if err := o.awaitReady(); err != nil {
		return err
	}
	ready := time.Since(start)
	time.Sleep(o.settle)
	before, err := o.readAll()
	if err != nil {
		return err
	}
	time.Sleep(o.watch)
	after, err := o.readAll()
	if err != nil {
		return err
	}
	fmt.Printf("scale entries=%d sides=%d ready_s=%.1f ", o.entries, o.sides, ready.Seconds())
	o.print("entry", before[:o.entries], after[:o.entries])
	o.print("side", before[o.entries:], after[o.entries:])
	fmt.Println()
	return nil
}

func (o *options) url(i int, path string) string {
	return fmt.Sprintf("http://%s:%d%s", o.host, o.firstPort+i, path)
}

func (o *options) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for i := range o.entries + o.sides {
		for {
			resp, err := http.Get(o.url(i, "/readyz"))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return eris.Errorf("%s not ready within %v", o.url(i, ""), readyTimeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// readAll reads the usage of all processes, front proxies before sidecars.
func (o *options) readAll() ([]usage, error) {
	out := make([]usage, o.entries+o.sides)
	for i := range out {
		u, err := readUsage(o.url(i, "/metrics"))
		if err != nil {
			return nil, err
		}
		out[i] = u
	}
	return out, nil
}

func readUsage(url string) (usage, error) {
	values, err := scrape.Values(http.DefaultClient, url, cpuMetric, memoryMetric)
	if err != nil {
		return usage{}, err
	}
	return usage{cpu: values[0], memory: values[1]}, nil
}

// print prints the mean and the maximum of the processor and memory usage of the
// processes of a role.
func (o *options) print(role string, before, after []usage) {
	var corePercents, megabytes []float64
	for i := range after {
		cpu := after[i].cpu - before[i].cpu
		corePercents = append(corePercents, 100*cpu/o.watch.Seconds())
		megabytes = append(megabytes, after[i].memory/(1<<20))
	}
	fmt.Printf("%s_core_percent=%.2f %s_core_percent_max=%.2f %s_mb=%.1f %s_mb_max=%.1f ",
		role, stat.Mean(corePercents, nil), role, maxOf(corePercents), role, stat.Mean(megabytes, nil), role, maxOf(megabytes))
}

func maxOf(xs []float64) float64 {
	largest := 0.0
	for _, x := range xs {
		largest = max(largest, x)
	}
	return largest
}
