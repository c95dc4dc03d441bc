package edge

import (
	"bytes"
	"fmt"

	svg "github.com/ajstarks/svgo"
)

// Measures of the plot, in pixels.
const (
	plotWidth  = 900
	plotHeight = 320
	plotMargin = 50
	labelStep  = 12
)

// plot draws the served share over time with the faults marked.
func (r *Report) plot() []byte {
	var out bytes.Buffer
	canvas := svg.New(&out)
	canvas.Start(plotWidth, plotHeight+labelStep*len(r.Faults))
	canvas.Rect(0, 0, plotWidth, plotHeight+labelStep*len(r.Faults), "fill:white")
	x := func(at float64) int {
		return plotMargin + int(at/max(r.Seconds, 1)*float64(plotWidth-2*plotMargin))
	}
	y := func(share float64) int {
		return plotHeight - plotMargin - int(share*float64(plotHeight-2*plotMargin))
	}
	const text = "font-family:sans-serif;font-size:10px"
	for n, e := range r.Faults {
		canvas.Rect(x(e.At), plotMargin, max(1, x(e.At+e.For)-x(e.At)), plotHeight-2*plotMargin, "fill:orange;fill-opacity:0.25")
		canvas.Text(plotMargin, plotHeight+labelStep*n, fmt.Sprintf("%.1f s: %s", e.At, e.What), text)
	}
	var xs, ys []int
	for _, s := range r.Share {
		if s.Asked > 0 {
			xs, ys = append(xs, x(s.At)), append(ys, y(float64(s.Served)/float64(s.Asked)))
		}
	}
	canvas.Polyline(xs, ys, "fill:none;stroke:steelblue;stroke-width:1.5")
	for _, share := range []float64{0, 0.5, 1} {
		canvas.Line(plotMargin, y(share), plotWidth-plotMargin, y(share), "stroke:lightgray")
		canvas.Text(10, y(share)+4, fmt.Sprint(share), text)
	}
	canvas.Text(plotMargin, 20, fmt.Sprintf("seed %d: %d of %d requests served, %d broken promises",
		r.Seed, r.Counts.Served, r.Counts.Asked, len(r.Violations)), "font-family:sans-serif;font-size:14px")
	canvas.End()
	return out.Bytes()
}
