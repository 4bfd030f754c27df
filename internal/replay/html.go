package replay

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"
)

//go:embed report.html.tmpl
var reportTemplate string

var reportHTML = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": percent,
	"date":    func(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04 UTC") },
}).Parse(reportTemplate))

// Size of a plot in user units.
const (
	plotWidth  = 720.0
	plotHeight = 160.0
	plotLeft   = 44.0
	plotBottom = 22.0
)

// plot is one chart of the HTML report.
type plot struct {
	Title  string
	Lines  []line
	Top    string
	Middle string
	End    string
}

type line struct {
	Name   string
	Class  string
	Points string
}

type page struct {
	*Report
	Plots []plot
}

// WriteHTML writes a self-contained page with plots.
func (r *Report) WriteHTML(w io.Writer) error {
	if err := reportHTML.Execute(w, page{r, r.plots()}); err != nil {
		return fmt.Errorf("replay: report: %w", err)
	}
	return nil
}

func (r *Report) plots() []plot {
	attainment := func(b Bin) float64 { return b.Attainment }
	worst := func(b Bin) float64 { return b.Worst }
	refusals := func(b Bin) float64 { return float64(b.RateRefused) }
	overload := func(b Bin) float64 { return float64(b.Refused) }
	requests := func(b Bin) float64 { return float64(b.Requests) }
	return []plot{
		r.plot("Attainment", 1, "100%", "50%", series{"all accounts", "a", attainment}, series{"worst account", "b", worst}),
		r.countPlot("Requests", series{"requests", "a", requests}),
		r.countPlot("Refusals", series{"for the rate", "a", refusals}, series{"for other reasons", "b", overload}),
	}
}

// series draws one value of every bin; negative values are gaps.
type series struct {
	name  string
	class string
	value func(Bin) float64
}

func (r *Report) countPlot(title string, all ...series) plot {
	top := 1.0
	for _, s := range all {
		for _, b := range r.Series {
			top = max(top, s.value(b))
		}
	}
	return r.plot(title, top, fmt.Sprintf("%.0f", top), fmt.Sprintf("%.0f", top/2), all...)
}

func (r *Report) plot(title string, top float64, topText, middleText string, all ...series) plot {
	p := plot{Title: title, Top: topText, Middle: middleText, End: fmt.Sprintf("%.0f s", r.Outcomes.Seconds)}
	for _, s := range all {
		p.Lines = append(p.Lines, line{Name: s.name, Class: s.class, Points: r.points(top, s.value)})
	}
	return p
}

func (r *Report) points(top float64, value func(Bin) float64) string {
	var b strings.Builder
	for i, bin := range r.Series {
		v := value(bin)
		if v < 0 {
			continue
		}
		x := plotLeft + (plotWidth-plotLeft)*float64(i)/float64(max(1, len(r.Series)-1))
		y := (plotHeight - plotBottom) * (1 - v/top)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y+4)
	}
	return b.String()
}
