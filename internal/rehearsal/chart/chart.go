// Package chart draws the results of rehearsals as PNG files.
package chart

import (
	"fmt"
	"image/color"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"merlinarch/internal/rehearsal"
)

var (
	green = color.RGBA{R: 30, G: 130, B: 76, A: 255}
	blue  = color.RGBA{R: 40, G: 90, B: 170, A: 255}
	red   = color.RGBA{R: 190, G: 40, B: 40, A: 255}
	amber = color.RGBA{R: 210, G: 140, B: 20, A: 255}
	shade = color.RGBA{R: 235, G: 225, B: 205, A: 255}
	gray  = color.RGBA{R: 120, G: 120, B: 120, A: 255}
)

const (
	width  = 30 * vg.Centimeter
	height = 9 * vg.Centimeter
)

// Timeline draws a rehearsal's windows into a file in dir and returns its path. It stacks three plots: service, requests
// with refusals and failures, and answer times. Troubles are shaded and waves are marked in the first two.
func Timeline(r rehearsal.Report, dir string) (string, error) {
	service, load, times := plot.New(), plot.New(), plot.New()
	service.Title.Text = fmt.Sprintf("%s, seed %d, %s: service %.3f", r.Script, r.Seed, r.Policy, r.Service)
	service.Y.Label.Text, service.Y.Min, service.Y.Max = "service", 0, 1.02
	load.Y.Label.Text, times.Y.Label.Text = "requests a second", "answer time, ms"
	times.X.Label.Text = "seconds"
	addLine := func(p *plot.Plot, name string, c color.Color, y func(rehearsal.Window) float64) error {
		var xy plotter.XYs
		for _, w := range r.Windows {
			xy = append(xy, plotter.XY{X: w.AtS, Y: y(w)}, plotter.XY{X: w.AtS + rehearsal.WindowSeconds, Y: y(w)})
		}
		l, err := plotter.NewLine(xy)
		if err != nil {
			return fmt.Errorf("plot of %s: %w", name, err)
		}
		l.Color, l.Width = c, vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(name, l)
		return nil
	}
	seconds := rehearsal.WindowSeconds
	top := 0.0
	for _, w := range r.Windows {
		top = max(top, float64(w.Asked)/seconds)
	}
	load.Y.Min, load.Y.Max = 0, 1.05*top
	for _, p := range []*plot.Plot{service, load, times} {
		p.Legend.Top = true
	}
	service.Legend.Top = false
	for _, p := range []*plot.Plot{service, load} {
		if err := addMarks(p, r, p == service); err != nil {
			return "", err
		}
	}
	for _, err := range []error{
		addLine(service, "service of what came then", green, func(w rehearsal.Window) float64 { return w.Service }),
		addLine(load, "asked", blue, func(w rehearsal.Window) float64 { return float64(w.Asked) / seconds }),
		addLine(load, "refused", amber, func(w rehearsal.Window) float64 { return float64(w.Refused) / seconds }),
		addLine(load, "failed", red, func(w rehearsal.Window) float64 { return float64(w.Failed) / seconds }),
		addLine(times, "median", green, func(w rehearsal.Window) float64 { return w.P50ms }),
		addLine(times, "99th of 100", red, func(w rehearsal.Window) float64 { return w.P99ms }),
	} {
		if err != nil {
			return "", err
		}
	}
	times.Y.Min = 0
	return saveStacked(filepath.Join(dir, r.Script+".png"), service, load, times)
}

// addMarks shades the troubles and draws a line at each wave, with their names if named is set.
func addMarks(p *plot.Plot, r rehearsal.Report, named bool) error {
	for i, m := range r.Marks {
		labelY := p.Y.Min + (p.Y.Max-p.Y.Min)*(0.08+0.075*float64(i%10))
		if m.UntilS > 0 {
			area, err := plotter.NewPolygon(plotter.XYs{{X: m.AtS, Y: p.Y.Min}, {X: m.UntilS, Y: p.Y.Min},
				{X: m.UntilS, Y: p.Y.Max}, {X: m.AtS, Y: p.Y.Max}})
			if err != nil {
				return fmt.Errorf("plot of troubles: %w", err)
			}
			area.Color, area.LineStyle.Width = shade, 0
			p.Add(area)
		} else {
			line, err := plotter.NewLine(plotter.XYs{{X: m.AtS, Y: p.Y.Min}, {X: m.AtS, Y: p.Y.Max}})
			if err != nil {
				return fmt.Errorf("plot of waves: %w", err)
			}
			line.Color, line.Dashes, line.Width = gray, []vg.Length{vg.Points(2), vg.Points(2)}, vg.Points(0.7)
			p.Add(line)
		}
		if !named {
			continue
		}
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: m.AtS, Y: labelY}}, Labels: []string{" " + m.Text}})
		if err != nil {
			return fmt.Errorf("plot of labels: %w", err)
		}
		labels.TextStyle[0].Font.Size = vg.Points(7)
		p.Add(labels)
	}
	return nil
}

// saveStacked draws plots one above the other into a PNG file and returns its path.
func saveStacked(path string, plots ...*plot.Plot) (string, error) {
	img := vgimg.New(width, height*vg.Length(len(plots)))
	dc := draw.New(img)
	rows := make([][]*plot.Plot, len(plots))
	for i, p := range plots {
		rows[i] = []*plot.Plot{p}
	}
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Points(6)}
	for i, row := range plot.Align(rows, tiles, dc) {
		plots[i].Draw(row[0])
	}
	return path, rehearsal.WriteWhole(path, func(f rehearsal.Writer) error {
		_, err := vgimg.PngCanvas{Canvas: img}.WriteTo(f)
		return err
	})
}

// Sweep draws the figures of a sweep into a file in dir and returns its path. Each value of the sweep has a box plot of
// the spread over its seeds; figures without data are left out.
func Sweep(s rehearsal.Sweep, dir string) (string, error) {
	var plots []*plot.Plot
	for _, f := range []struct {
		name string
		of   func(rehearsal.Play) (float64, bool)
	}{
		{"service", func(p rehearsal.Play) (float64, bool) { return p.Service, true }},
		{"worst window", func(p rehearsal.Play) (float64, bool) { return p.Worst, true }},
		{"seconds from the offer to the vote back", func(p rehearsal.Play) (float64, bool) { return p.BackS, p.BackS >= 0 }},
	} {
		p := plot.New()
		p.Title.Text, p.Y.Label.Text, p.X.Label.Text = s.Script, f.name, s.Path
		var names []string
		drawn := false
		for i, point := range s.Points {
			names = append(names, point.Value)
			var v plotter.Values
			for _, play := range point.Plays {
				if y, ok := f.of(play); ok {
					v = append(v, y)
				}
			}
			if len(v) == 0 {
				continue
			}
			box, err := plotter.NewBoxPlot(vg.Points(30), float64(i), v)
			if err != nil {
				return "", fmt.Errorf("plot of %s: %w", f.name, err)
			}
			p.Add(box)
			drawn = true
		}
		p.NominalX(names...)
		p.X.Min, p.X.Max = -0.5, float64(len(names))-0.5
		if drawn {
			plots = append(plots, p)
		}
	}
	return saveStacked(filepath.Join(dir, s.Script+"-sweep.png"), plots...)
}
