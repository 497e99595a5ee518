// Package slopes measures how the cost of each part of the system grows with
// its size, and fits a line to it. docs/CAPACITY.md is worked out from the
// lines that it prints.
package slopes

import (
	"fmt"
	"io"
	"regexp"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// Slope is one cost as a function of one size.
type Slope struct {
	Name  string // what is measured
	Per   string // what the size counts
	Unit  string // of the cost
	Sizes []int  // at least four, in ascending order
	// Measure returns the cost at a size.
	Measure func(size int) (float64, error)
}

// Line is a fitted cost: Base + Each*size.
type Line struct {
	Base, Each float64
	R2         float64 // share of the variance that the line explains
}

// all is every slope in the order of printing.
func all() []Slope {
	var out []Slope
	for _, part := range [][]Slope{
		links(),
		documents(),
		instances(),
		subsets(),
		picks(),
		admission(),
		claims(),
		groups(),
	} {
		out = append(out, part...)
	}
	return out
}

// Run measures the slopes whose names match only and prints a line for each.
func Run(w io.Writer, only *regexp.Regexp) error {
	for _, s := range all() {
		if only != nil && !only.MatchString(s.Name) {
			continue
		}
		if err := s.run(w); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	return nil
}

func (s Slope) run(w io.Writer) error {
	var xs, ys []float64
	var points []string
	for _, size := range s.Sizes {
		cost, err := s.Measure(size)
		if err != nil {
			return err
		}
		xs = append(xs, float64(size))
		ys = append(ys, cost)
		points = append(points, fmt.Sprintf("%d:%.4g", size, cost))
	}
	line := fit(xs, ys)
	_, err := fmt.Fprintf(w, "slope=%s per=%s unit=%s each=%.4g base=%.4g r2=%.3f points=%s\n",
		s.Name, s.Per, s.Unit, line.Each, line.Base, line.R2, strings.Join(points, ","))
	return err
}

// fit returns the least-squares line through the points.
func fit(xs, ys []float64) Line {
	base, each := stat.LinearRegression(xs, ys, nil, false)
	return Line{Base: base, Each: each, R2: stat.RSquared(xs, ys, nil, base, each)}
}
