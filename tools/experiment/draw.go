package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"auburnlatch/core/model"
)

// The size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 3.5 * vg.Inch
)

// series is the result of one policy in a plot.
type series struct {
	name   string
	result model.Result
}

// draw writes a plot of the fraction of requests answered within the latency objective,
// per second of the simulation and with a line for each policy.
func draw(dir string, s model.Shape, pattern model.Pattern, lines []series) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s", s.Name, pattern.Name)
	p.X.Label.Text = "second"
	p.Y.Label.Text = "share in time"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		var points plotter.XYs
		for second := range len(l.result.Seconds) - 1 {
			points = append(points, plotter.XY{X: float64(second), Y: l.result.InTime(second, second+1)})
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, l.name)
		}
		drawn.Color, drawn.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	name := strings.ReplaceAll(s.Name+"-"+pattern.Name, " ", "-") + ".png"
	return errors.Wrap(p.Save(plotWidth, plotHeight, filepath.Join(dir, name)), "plot")
}
