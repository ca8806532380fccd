package report

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/wcharczuk/go-chart/v2"
)

// cellPadding is the number of spaces between two columns.
const cellPadding = 2

// WriteText writes the table as text with aligned columns. It fails if w does.
func (t Table) WriteText(w io.Writer) error {
	tabs := tabwriter.NewWriter(w, 0, 0, cellPadding, ' ', tabwriter.AlignRight)
	fmt.Fprintf(tabs, "%s\tall\t", t.Name)
	for _, o := range t.Outcomes {
		fmt.Fprintf(tabs, "%s\t", o)
	}
	fmt.Fprintln(tabs)
	for _, row := range t.Rows {
		fmt.Fprintf(tabs, "%s\t%d\t", row.Group, row.Total)
		for _, o := range t.Outcomes {
			fmt.Fprintf(tabs, "%d\t", row.Counts[o])
		}
		fmt.Fprintln(tabs)
	}
	return eris.Wrap(tabs.Flush(), "report: write table")
}

// plotWidth and plotHeight are the size of a plot, plotTopPadding the space above its
// curves, all in pixels.
const plotWidth, plotHeight, plotTopPadding = 1000, 400, 40

// minPlotPoints is the least number of spans that can be plotted as lines.
const minPlotPoints = 2

// WriteSVG plots one line per outcome as an SVG image, over the time in seconds. The table
// must come from GroupByTime with the same span. It fails if there are fewer than two spans.
func (t Table) WriteSVG(w io.Writer, span time.Duration) error {
	if len(t.Rows) < minPlotPoints {
		return eris.Errorf("report: the log covers %d spans of %s, a plot needs at least %d", len(t.Rows), span, minPlotPoints)
	}
	plot := chart.Chart{
		Width: plotWidth, Height: plotHeight,
		Background: chart.Style{Padding: chart.Box{Top: plotTopPadding}},
		XAxis:      chart.XAxis{Name: "seconds"},
		YAxis:      chart.YAxis{Name: fmt.Sprintf("requests in %s", span)},
	}
	seconds := make([]float64, len(t.Rows))
	for i := range t.Rows {
		seconds[i] = float64(i) * span.Seconds()
	}
	for _, o := range t.Outcomes {
		counts := make([]float64, len(t.Rows))
		for i, row := range t.Rows {
			counts[i] = float64(row.Counts[o])
		}
		plot.Series = append(plot.Series, chart.ContinuousSeries{Name: string(o), XValues: seconds, YValues: counts})
	}
	plot.Elements = []chart.Renderable{chart.LegendThin(&plot)}
	return eris.Wrap(plot.Render(chart.SVG, w), "report: plot")
}
