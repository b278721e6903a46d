// Package capacity measures time, bytes and memory of the parts of the system at several sizes, and
// fits a straight line to each series of measurements.
package capacity

import (
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement at one size.
type Point struct {
	Size  float64
	Value float64
}

// Slope is a series of measurements to which a straight line is fitted.
type Slope struct {
	Name     string // what is measured
	Unit     string // of the values
	SizeName string // what the size counts, such as targets
	LogScale bool   // the line is fitted over the binary logarithm of the size
	Points   []Point
}

// Fit returns the line fitted to the points: its value at size 0 (size 1 if LogScale), its slope, and
// the coefficient of determination.
func (s Slope) Fit() (base, slope, rSquared float64) {
	var xs, ys []float64
	for _, p := range s.Points {
		xs = append(xs, s.scale(p.Size))
		ys = append(ys, p.Value)
	}
	base, slope = stat.LinearRegression(xs, ys, nil, false)
	return base, slope, stat.RSquared(xs, ys, nil, base, slope)
}

// scale returns the size, or its binary logarithm if LogScale.
func (s Slope) scale(size float64) float64 {
	if s.LogScale {
		return math.Log2(size)
	}
	return size
}

// At returns the value of the fitted line at a size.
func (s Slope) At(size float64) float64 {
	base, slope, _ := s.Fit()
	return base + slope*s.scale(size)
}

// Write prints the slope as a row of a Markdown table.
func (s Slope) Write(w io.Writer) {
	base, slope, rSquared := s.Fit()
	sizeName := s.SizeName
	if s.LogScale {
		sizeName = "doubling of " + sizeName
	}
	points := ""
	for _, p := range s.Points {
		points += fmt.Sprintf("%.0f: %.4g, ", p.Size, p.Value)
	}
	fmt.Fprintf(w, "| %s | %s | %.4g + %.4g per %s | %.3f |\n", s.Name, points[:len(points)-2]+" "+s.Unit,
		base, slope, sizeName, rSquared)
}
