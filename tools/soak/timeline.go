package main

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// injectedFault is a fault and the time of its injection.
type injectedFault struct {
	name string
	at   time.Time
}

// The size of a timeline, and the Y positions of the faults' marks above the curve.
const (
	timelineWidth  = 9 * vg.Inch
	timelineHeight = 4 * vg.Inch
	firstMarkY     = 1.08
	markStep       = 0.06
)

// draw writes a timeline: the fraction of requests served in each second, and above it the
// times at which each kind of fault was injected.
func (r *result) draw(dir string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("seed %d", r.seed)
	p.X.Label.Text = "second"
	p.Y.Min = 0
	served, err := plotter.NewLine(r.shares())
	if err != nil {
		return err
	}
	served.Width = vg.Points(1.5)
	p.Add(plotter.NewGrid(), served)
	var kinds []string
	for _, m := range r.injected {
		if !slices.Contains(kinds, m.name) {
			kinds = append(kinds, m.name)
		}
	}
	slices.Sort(kinds)
	var ticks []plot.Tick
	for _, share := range []float64{0, 0.5, 1} {
		ticks = append(ticks, plot.Tick{Value: share, Label: fmt.Sprint(share)})
	}
	for i, kind := range kinds {
		y := firstMarkY + markStep*float64(i)
		ticks = append(ticks, plot.Tick{Value: y, Label: kind})
		var points plotter.XYs
		for _, m := range r.injected {
			if m.name == kind {
				points = append(points, plotter.XY{X: m.at.Sub(r.began).Seconds(), Y: y})
			}
		}
		marks, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		marks.Color = color.RGBA{R: 180, A: 255}
		p.Add(marks)
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return p.Save(timelineWidth, timelineHeight, filepath.Join(dir, fmt.Sprintf("seed-%d.png", r.seed)))
}

// shares returns the fraction of requests served, by the second in which they were sent.
func (r *result) shares() plotter.XYs {
	var points plotter.XYs
	for i, s := range r.seconds {
		if s.requests > 0 {
			points = append(points, plotter.XY{X: float64(i), Y: float64(s.served) / float64(s.requests)})
		}
	}
	return points
}

// second counts the requests sent in one second.
type second struct{ requests, served int }

// bySeconds counts requests by the second in which they were sent.
func (l *ledger) bySeconds(began time.Time) (list []second) {
	for _, e := range l.entries {
		if e.at.IsZero() || e.probe {
			continue
		}
		i := int(e.at.Sub(began) / time.Second)
		for len(list) <= i {
			list = append(list, second{})
		}
		list[i].requests++
		if e.status == 200 {
			list[i].served++
		}
	}
	return list
}
