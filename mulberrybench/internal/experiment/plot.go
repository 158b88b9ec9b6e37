package experiment

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	// plotPoints is about the number of points to which a line is thinned out.
	plotPoints = 250
)

// Plots writes the distributions of step time, idle time and staleness, and the load over
// time, as SVG files into dir.
func (r *Report) Plots(dir string) error {
	for _, f := range []struct {
		name, title, x string
		values         func(*Summary) []float64
	}{
		{"steps", "step time", "step time / limit", func(s *Summary) []float64 { return s.stepRatios }},
		{"idle", "trainer idle time", "seconds a step", func(s *Summary) []float64 { return s.idleTimes }},
		{"staleness", "staleness of samples", "versions", func(s *Summary) []float64 { return floats(s.staleness) }},
	} {
		if err := r.plotDistribution(dir, f.name, f.title, f.x, f.values); err != nil {
			return err
		}
	}
	return r.plotLoad(dir)
}

func floats(l []int64) []float64 {
	r := make([]float64, len(l))
	for i, v := range l {
		r[i] = float64(v)
	}
	return r
}

// plotDistribution draws the cumulative distribution of the values, which are sorted, with
// one line for each policy.
func (r *Report) plotDistribution(dir, name, title, x string, values func(*Summary) []float64) error {
	p := plot.New()
	p.Title.Text = r.Config.Name + ": " + title
	p.X.Label.Text, p.Y.Label.Text = x, "part at most"
	p.Y.Min, p.Y.Max = 0, 1
	for i, s := range r.Rows {
		v := values(s)
		if len(v) == 0 {
			continue
		}
		var l plotter.XYs
		step := max(1, len(v)/plotPoints)
		for j := 0; j < len(v); j += step {
			l = append(l, plotter.XY{X: v[j], Y: float64(j) / float64(len(v))})
		}
		l = append(l, plotter.XY{X: v[len(v)-1], Y: 1})
		if err := addLine(p, l, s.Policy, i); err != nil {
			return err
		}
	}
	p.Legend.Top = false
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, r.Config.Name+"-"+name+".svg"))
}

// addLine adds the line of the i-th policy to a plot and its legend.
func addLine(p *plot.Plot, l plotter.XYs, name string, i int) error {
	line, err := plotter.NewLine(l)
	if err != nil {
		return err
	}
	line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// plotLoad draws the number of running streams of the first seed over time. Marks below
// the axis show when weights are being loaded, in one row for each policy.
func (r *Report) plotLoad(dir string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: running streams, seed %d (marks: weight loads)", r.Config.Name, r.Config.Seeds[0])
	p.X.Label.Text, p.Y.Label.Text = "seconds", "streams"
	for i, s := range r.Rows {
		var l, m plotter.XYs
		step := max(1, len(s.load)/plotPoints)
		for j := 0; j < len(s.load); j += step {
			x := s.load[j]
			l = append(l, plotter.XY{X: seconds(x.At), Y: float64(x.Running)})
			if x.Loading > 0 {
				m = append(m, plotter.XY{X: seconds(x.At), Y: -2 * float64(i+1)})
			}
		}
		if len(l) == 0 {
			continue
		}
		if err := addLine(p, l, s.Policy, i); err != nil {
			return err
		}
		if len(m) == 0 {
			continue
		}
		marks, err := plotter.NewScatter(m)
		if err != nil {
			return err
		}
		marks.Color, marks.Radius = plotutil.Color(i), 1
		p.Add(marks)
	}
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, r.Config.Name+"-load.svg"))
}
