package experiment

import (
	"bytes"
	"fmt"
	"html"
	"html/template"
	"image/color"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = vg.Length(840)
	plotHeight = vg.Length(300)
)

// The colours are those that Okabe and Ito chose for eyes of all kinds; lines differ by their dashes too.
var (
	colours = []color.NRGBA{{0x00, 0x72, 0xb2, 0xff}, {0xd5, 0x5e, 0x00, 0xff}, {0x00, 0x9e, 0x73, 0xff},
		{0xcc, 0x79, 0xa7, 0xff}, {0xe6, 0x9f, 0x00, 0xff}, {0x56, 0xb4, 0xe9, 0xff}, {0x22, 0x22, 0x22, 0xff}}
	dashes = [][]vg.Length{nil, {7, 3}, {2, 2}, {9, 3, 2, 3}}
	dark   = color.NRGBA{0x22, 0x22, 0x22, 0xff}
	grey   = color.NRGBA{0x66, 0x66, 0x66, 0xff}
	pale   = color.NRGBA{0xe4, 0xe4, 0xe4, 0xff}
)

// drawing is a plot as the page shows it and as a file has it.
type drawing struct {
	Title, About, File string
	Legend             []legend
	svg                string
}

type legend struct{ Name, Colour, Dashes string }

// SVG is the drawing as it stands in a page.
func (d *drawing) SVG() template.HTML { return template.HTML(d.svg) }

// document is the drawing as a file of its own, with its legend in it.
func (d *drawing) document() []byte {
	var b bytes.Buffer
	tall := plotHeight.Points() + 18*float64(len(d.Legend)+1)
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" xmlns:xlink="http://www.w3.org/1999/xlink" `+
		`width="%g" height="%g" `+
		`font-family="sans-serif" font-size="12"><rect width="100%%" height="100%%" fill="#fff"/>`+"\n",
		plotWidth.Points(), tall)
	b.WriteString(d.svg)
	for i, l := range d.Legend {
		y := plotHeight.Points() + 18*float64(i) + 10
		fmt.Fprintf(&b, `<line x1="70" x2="104" y1="%g" y2="%g" stroke="%s" stroke-width="2" stroke-dasharray="%s"/>`+
			`<text x="112" y="%g">%s</text>`+"\n", y, y, l.Colour, l.Dashes, y+4, html.EscapeString(l.Name))
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}

// plots draws the service along each parameter that moves.
func (o *Swept) plots() []*drawing {
	var out []*drawing
	for _, name := range o.Sweep.moved() {
		about := "Means over seeds, with their 95% intervals."
		if o.Sweep.Grid != OneAtATime && len(o.Sweep.moved()) > 1 {
			about = "Means over seeds, with their 95% intervals; each seed's value is the mean " +
				"over all settings of the other parameters."
		}
		d := &drawing{Title: "Service along " + name, About: about, File: "service-" + name + ".svg"}
		d.draw(name, o.courses(name, "service"))
		out = append(out, d)
	}
	return out
}

// draw makes the drawing of lines, each with its band.
func (d *drawing) draw(x string, lines []course) {
	p := plot.New()
	p.BackgroundColor = color.Transparent
	for _, s := range []*text.Style{&p.X.Tick.Label, &p.Y.Tick.Label, &p.X.Label.TextStyle, &p.Y.Label.TextStyle} {
		s.Font.Variant, s.Font.Size, s.Color = "Sans", 10, dark
	}
	for _, a := range []*plot.Axis{&p.X, &p.Y} {
		a.Padding, a.LineStyle.Color, a.Tick.LineStyle.Color = 2, grey, grey
	}
	p.X.Label.Text, p.Y.Label.Text = x, "service"
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = pale, pale
	p.Add(grid)
	for i, c := range lines {
		colour := colours[i%len(colours)]
		stroke := draw.LineStyle{Color: colour, Width: 1.8, Dashes: dashes[(i/len(colours)+i)%len(dashes)]}
		l := legend{Name: c.scenario, Colour: fmt.Sprintf("#%02x%02x%02x", colour.R, colour.G, colour.B)}
		for _, dash := range stroke.Dashes {
			l.Dashes += fmt.Sprintf("%g ", dash.Points())
		}
		l.Dashes = strings.TrimSpace(l.Dashes)
		if len(c.x) == 0 {
			l.Name += " (no run that counts)"
		}
		d.Legend = append(d.Legend, l)
		band := colour
		band.A = 0x2a
		var up, down, mean plotter.XYs
		flush := func() {
			if len(up) > 1 {
				for n := len(down) - 1; n >= 0; n-- {
					up = append(up, down[n])
				}
				p.Add(&plotter.Polygon{XYs: []plotter.XYs{up}, Color: band})
			}
			up, down = nil, nil
		}
		var whiskers []whisker
		for n, m := range c.y {
			mean = append(mean, plotter.XY{X: c.x[n], Y: m.Mean})
			if math.IsNaN(m.Low) {
				flush()
				continue
			}
			// A service is never under 0 nor over 1; the interval's part beyond says nothing.
			low, high := max(0, m.Low), min(1, m.High)
			low, high = min(low, m.Mean), max(high, m.Mean)
			up, down = append(up, plotter.XY{X: c.x[n], Y: high}), append(down, plotter.XY{X: c.x[n], Y: low})
			whiskers = append(whiskers, whisker{c.x[n], low, high})
		}
		flush()
		if len(mean) > 0 {
			p.Add(&plotter.Line{XYs: mean, LineStyle: stroke},
				&plotter.Scatter{XYs: mean, GlyphStyle: draw.GlyphStyle{Color: colour, Radius: 3,
					Shape: draw.CircleGlyph{}}})
			p.Add(bars{whiskers, colour})
			for _, w := range whiskers {
				p.Y.Min, p.Y.Max = min(p.Y.Min, w.low), max(p.Y.Max, w.high)
			}
		}
	}
	if math.IsInf(p.X.Min, 0) || math.IsInf(p.Y.Min, 0) { // nothing to draw
		p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, 1, 0, 1
	}
	if p.X.Min == p.X.Max {
		p.X.Min, p.X.Max = p.X.Min-1, p.X.Max+1
	}
	// A figure that hardly moves is not blown up to the whole height.
	if p.Y.Max = min(p.Y.Max+0.01, 1.005); p.Y.Max-p.Y.Min < 0.1 {
		p.Y.Min = max(0, p.Y.Max-0.1)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.Crop(draw.New(canvas), 8, -16, 6, -6))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		d.svg = "<p>This plot could not be drawn.</p>"
		return
	}
	// Without the head of a document of its own, and as wide as there is room.
	s := b.String()
	if i := strings.Index(s, "<svg"); i >= 0 {
		if j := strings.IndexByte(s[i:], '>'); j >= 0 {
			s = s[i+j+1:]
		}
	}
	d.svg = fmt.Sprintf(`<svg viewBox="0 0 %g %g" width="%g" height="%g" role="img" aria-label="%s">`,
		plotWidth.Points(),
		plotHeight.Points(), plotWidth.Points(), plotHeight.Points(), html.EscapeString(d.Title)) + s
}

type whisker struct{ x, low, high float64 }

// bars draws intervals, which a band alone does not show where a line has one point.
type bars struct {
	at     []whisker
	colour color.Color
}

func (b bars) Plot(c draw.Canvas, p *plot.Plot) {
	x, y := p.Transforms(&c)
	style := draw.LineStyle{Color: b.colour, Width: 1}
	for _, w := range b.at {
		c.StrokeLine2(style, x(w.x), y(w.low), x(w.x), y(w.high))
		for _, end := range []float64{w.low, w.high} {
			c.StrokeLine2(style, x(w.x)-3, y(end), x(w.x)+3, y(end))
		}
	}
}
