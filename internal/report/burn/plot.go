package burn

import (
	"fmt"
	"io"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// The size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// legendMargin is the minimum space above the fast threshold, which keeps the legend
// clear of the lines.
const legendMargin = 6

// WriteSVG plots each service's burn rate over 30 minutes, for all accounts together,
// with the alert thresholds. Services without an objective are omitted.
func (r Report) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = "Burn rate over 30 minutes, " + r.At.Format("2006-01-02 15:04 MST")
	p.X.Label.Text = "hours before now"
	p.Y.Label.Text = "times the allowed rate"
	p.Y.Min, p.Y.Max = 0, FastThreshold+legendMargin
	p.X.Tick.Marker = plot.TickerFunc(hourTicks)
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	drawn := 0
	for _, l := range r.Lines {
		if l.Account != "" || l.Target == 0 || len(l.History) == 0 {
			continue
		}
		if err := addLine(p, l.Service, points(l.History), drawn, plotutil.Dashes(0)); err != nil {
			return err
		}
		drawn++
	}
	from := -(longestWindow - slowShortWindow).Hours()
	for i, threshold := range []float64{SlowThreshold, FastThreshold} {
		name := []string{"slow alert", "fast alert"}[i]
		thresholdLine := plotter.XYs{{X: from, Y: threshold}, {X: 0, Y: threshold}}
		if err := addLine(p, name, thresholdLine, drawn+i, plotutil.Dashes(1)); err != nil {
			return err
		}
	}
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	if _, err := c.WriteTo(w); err != nil {
		return fmt.Errorf("write burn plot: %w", err)
	}
	return nil
}

// hourTicks returns a tick for each whole hour.
func hourTicks(minHours, maxHours float64) []plot.Tick {
	var ticks []plot.Tick
	for hour := int(minHours); hour <= int(maxHours); hour++ {
		ticks = append(ticks, plot.Tick{Value: float64(hour), Label: strconv.Itoa(hour)})
	}
	return ticks
}

// points returns the history over time in hours, ending at 0.
func points(history []float64) plotter.XYs {
	xys := make(plotter.XYs, len(history))
	for i, rate := range history {
		stepsBack := len(history) - 1 - i
		xys[i] = plotter.XY{X: -float64(stepsBack) * HistoryStep.Hours(), Y: rate}
	}
	return xys
}

// addLine adds a line to the plot and its name to the legend.
func addLine(p *plot.Plot, name string, xys plotter.XYs, color int, dashes []vg.Length) error {
	line, err := plotter.NewLine(xys)
	if err != nil {
		return fmt.Errorf("draw burn of %s: %w", name, err)
	}
	line.Color = plotutil.Color(color)
	line.Dashes = dashes
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
