// Command scale reads the processor time and memory of many idle processes
// from their status ports. scripts/scale.sh starts them.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
)

// Metrics that every Go process exports.
const (
	cpuMetric    = "process_cpu_seconds_total"
	memoryMetric = "process_resident_memory_bytes"
	readyTimeout = 60 * time.Second
	readyPoll    = 100 * time.Millisecond
)

// usage is what one process has used.
type usage struct {
	processor float64 // seconds
	memory    float64 // bytes resident
}

// options say which processes to read.
type options struct {
	host          string
	first         int // status port of the first process
	entries       int
	sides         int
	settle, watch time.Duration
}

func main() {
	var o options
	cmd := &cobra.Command{
		Use:           "scale",
		Short:         "Read what idle entries and sides use",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return o.run() },
	}
	f := cmd.Flags()
	f.StringVar(&o.host, "host", "127.0.0.1", "address of the processes")
	f.IntVar(&o.first, "first", 0, "status port of the first process; the others follow, entries first")
	f.IntVar(&o.entries, "entries", 0, "number of entries")
	f.IntVar(&o.sides, "sides", 0, "number of sides")
	f.DurationVar(&o.settle, "settle", 5*time.Second, "time from readiness to the first reading")
	f.DurationVar(&o.watch, "watch", 10*time.Second, "time between the two readings")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func (o *options) run() error {
	start := time.Now()
	if err := o.awaitReady(); err != nil {
		return err
	}
	ready := time.Since(start)
	time.Sleep(o.settle)
	before, err := o.read()
	if err != nil {
		return err
	}
	time.Sleep(o.watch)
	after, err := o.read()
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
	return fmt.Sprintf("http://%s:%d%s", o.host, o.first+i, path)
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
				return eris.Errorf("%s is not ready", o.url(i, ""))
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func (o *options) read() ([]usage, error) {
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
	resp, err := http.Get(url)
	if err != nil {
		return usage{}, err
	}
	defer resp.Body.Close()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return usage{}, err
	}
	if families[cpuMetric] == nil || families[memoryMetric] == nil {
		return usage{}, eris.Errorf("%s lacks the process metrics", url)
	}
	return usage{
		processor: families[cpuMetric].GetMetric()[0].GetCounter().GetValue(),
		memory:    families[memoryMetric].GetMetric()[0].GetGauge().GetValue(),
	}, nil
}

// print writes the mean and the highest of a role's processes.
func (o *options) print(role string, before, after []usage) {
	var shares, megabytes []float64
	for i := range after {
		used := after[i].processor - before[i].processor
		shares = append(shares, 100*used/o.watch.Seconds())
		megabytes = append(megabytes, after[i].memory/(1<<20))
	}
	fmt.Printf("%s_core_percent=%.2f %s_core_percent_max=%.2f %s_mb=%.1f %s_mb_max=%.1f ",
		role, stat.Mean(shares, nil), role, highest(shares), role, stat.Mean(megabytes, nil), role, highest(megabytes))
}

func highest(xs []float64) float64 {
	top := 0.0
	for _, x := range xs {
		top = max(top, x)
	}
	return top
}
