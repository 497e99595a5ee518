// Package slopes measures costs of the system (processor time, memory and message
// sizes) by size (number of connections, backend servers, claims, ranks and the
// like) and fits a line to the measurements of each. The figures of docs/CAPACITY.md
// are derived from its output.
package slopes

import (
	"fmt"
	"io"
	"regexp"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Measurement describes the measurement of one cost at several sizes.
type Measurement struct {
	Name  string // of the measurement, as printed and as selected by --only
	Per   string // unit of the size
	Unit  string // unit of the cost
	Sizes []int  // at least four, in ascending order
	// Measure returns the cost at a size.
	Measure func(size int) (float64, error)
}

// Fit is the line fitted to the costs: cost = Intercept + Slope*size.
type Fit struct {
	Intercept, Slope float64
	R2               float64 // coefficient of determination
}

// measurements returns all measurements in the order in which they are printed.
func measurements() []Measurement {
	var out []Measurement
	for _, part := range [][]Measurement{
		linkMeasurements(),
		documentMeasurements(),
		instanceMeasurements(),
		subsetMeasurements(),
		pickMeasurements(),
		admissionMeasurements(),
		claimMeasurements(),
		groupMeasurements(),
	} {
		out = append(out, part...)
	}
	return out
}

// Run runs the measurements whose names match only, or all if only is nil, and
// writes one line for each to w. It stops at the first error.
func Run(w io.Writer, only *regexp.Regexp) error {
	for _, m := range measurements() {
		if only != nil && !only.MatchString(m.Name) {
			continue
		}
		if err := m.run(w); err != nil {
			return fmt.Errorf("measure %s: %w", m.Name, err)
		}
	}
	return nil
}

func (m Measurement) run(w io.Writer) error {
	var xs, ys []float64
	var points []string
	for _, size := range m.Sizes {
		cost, err := m.Measure(size)
		if err != nil {
			return err
		}
		xs = append(xs, float64(size))
		ys = append(ys, cost)
		points = append(points, fmt.Sprintf("%d:%.4g", size, cost))
	}
	fit := fitLine(xs, ys)
	_, err := fmt.Fprintf(w, "slope=%s per=%s unit=%s each=%.4g base=%.4g r2=%.3f points=%s\n",
		m.Name, m.Per, m.Unit, fit.Slope, fit.Intercept, fit.R2, strings.Join(points, ","))
	return err
}

// fitLine returns the least-squares line through the points.
func fitLine(xs, ys []float64) Fit {
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	return Fit{Intercept: intercept, Slope: slope, R2: stat.RSquared(xs, ys, nil, intercept, slope)}
}
