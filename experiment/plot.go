package experiment

import (
	"image/color"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/cassiachute/cassiachute/capacity"
	"github.com/cassiachute/cassiachute/load"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// palette holds the colours of the lines, in order.
var palette = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
}

// Line is a line of a plot.
type Line struct {
	Name   string
	Points plotter.XYs
}

// Run is the result of a run, with a name for the plot.
type Run struct {
	Name   string
	Report *load.Report
}

// savePlot draws lines and saves the plot as an SVG file.
func savePlot(path, title, x, y string, logX bool, lines []Line) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	if logX {
		p.X.Scale = plot.LogScale{}
		p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	for n, l := range lines {
		plotted, err := plotter.NewLine(l.Points)
		if err != nil {
			return errors.Wrapf(err, "draw line %s", l.Name)
		}
		plotted.Color = palette[n%len(palette)]
		p.Add(plotted)
		p.Legend.Add(l.Name, plotted)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "save plot as an SVG file")
}

// PlotRuns plots the fairness gap, the slots in use and the service of the streams
// without a flood over time, each in one file with a line for each run.
func PlotRuns(dir string, runs []Run) error {
	for _, chart := range []struct {
		file, title, unit string
		value             func(p load.Point) float64
	}{
		{"gap.svg", "Difference between two backlogged teams", "costliest requests", func(p load.Point) float64 { return p.Gap }},
		{"busy.svg", "Slots in use", "part", func(p load.Point) float64 { return p.Utilization }},
		{"kept.svg", "Service of the work outside the flood", "cost units a second", func(p load.Point) float64 { return p.NonFloodRate }},
	} {
		var lines []Line
		for _, r := range runs {
			l := Line{Name: r.Name}
			for _, p := range r.Report.Series {
				l.Points = append(l.Points, plotter.XY{X: p.At, Y: chart.value(p)})
			}
			lines = append(lines, l)
		}
		if err := savePlot(filepath.Join(dir, chart.file), chart.title, "seconds", chart.unit, false, lines); err != nil {
			return err
		}
	}
	return nil
}

// PlotSlopes plots the values of each slope with a logarithmic size against that
// size.
func PlotSlopes(dir string, slopes []capacity.Slope) error {
	var lines []Line
	for _, s := range slopes {
		if !s.LogScale {
			continue
		}
		l := Line{Name: s.SizeName}
		for _, p := range s.Points {
			l.Points = append(l.Points, plotter.XY{X: p.Size, Y: p.Value})
		}
		lines = append(lines, l)
	}
	return savePlot(filepath.Join(dir, "grant.svg"), "Ticket, grant and end", "size", "microseconds", true, lines)
}
