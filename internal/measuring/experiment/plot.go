package experiment

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"buckthornlatch.example/buckthornlatch/internal/fault"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot draws the requests by second to an SVG or PNG file.
func Plot(r Result, file string) error {
	p := plot.New()
	p.Title.Text = r.Name
	p.X.Label.Text = "second"
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	for _, line := range []struct {
		label string
		color color.Color
		value func(Second) int
	}{
		{"served", color.RGBA{G: 128, A: 255}, func(s Second) int { return s.Served }},
		{"refused, not run", color.RGBA{B: 200, A: 255}, func(s Second) int { return s.Refused }},
		{"failed or unknown", color.RGBA{R: 200, A: 255}, func(s Second) int { return s.Other }},
	} {
		points := make(plotter.XYs, len(r.Series))
		for i, s := range r.Series {
			points[i].X = float64(s.Second)
			points[i].Y = float64(line.value(s))
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return fault.New("plot", "", err)
		}
		drawn.Color = line.color
		p.Add(drawn)
		p.Legend.Add(line.label, drawn)
	}
	return fault.New("write plot", "", p.Save(plotWidth, plotHeight, file))
}
