// Package capacity measures what the parts of the system cost at several sizes
// and works out slopes from them.
package capacity

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	Size  float64
	Value float64
}

// Slope is a series of measurements with a straight line through them.
type Slope struct {
	Name   string
	Unit   string // of the values
	By     string // what the size counts
	Log    bool   // the line is over the binary logarithm of the size
	Points []Point
}

// Fit returns the value at size 0 (or 1, for a logarithm), the change with the
// size, and the part of the variance that the line explains.
func (s Slope) Fit() (base, slope, explained float64) {
	var xs, ys []float64
	for _, p := range s.Points {
		xs = append(xs, s.scale(p.Size))
		ys = append(ys, p.Value)
	}
	base, slope = stat.LinearRegression(xs, ys, nil, false)
	return base, slope, stat.RSquared(xs, ys, nil, base, slope)
}

func (s Slope) scale(size float64) float64 {
	if s.Log {
		return math.Log2(size)
	}
	return size
}

// At returns the value of the line at a size.
func (s Slope) At(size float64) float64 {
	base, slope, _ := s.Fit()
	return base + slope*s.scale(size)
}

// Write prints a slope as a row of a table.
func (s Slope) Write(out io.Writer) {
	base, slope, explained := s.Fit()
	by := s.By
	if s.Log {
		by = "doubling of " + by
	}
	points := ""
	for _, p := range s.Points {
		points += fmt.Sprintf("%.0f: %.4g, ", p.Size, p.Value)
	}
	fmt.Fprintf(out, "| %s | %s | %.4g + %.4g per %s | %.3f |\n", s.Name, points[:len(points)-2]+" "+s.Unit,
		base, slope, by, explained)
}
