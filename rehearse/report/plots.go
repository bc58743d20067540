package report

import (
	"bytes"
	"cmp"
	"fmt"
	"html"
	"html/template"
	"image/color"
	"math"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/text"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"laddertide/core/score"
)

// All plots of a run are as wide as each other and have their time in the same places, so that one can be read above
// the other.
const (
	plotWidth  = vg.Length(960)
	leftMargin = vg.Length(84)
	lineHeight = vg.Length(190)
)

// The bounds of what plots show.
const (
	labelledTroubles = 12
	shadedTroubles   = 200
	namedRows        = 40
	mostRows         = 400
)

// The colours are those that Okabe and Ito chose for eyes of all kinds; lines differ by their dashes too.
var (
	blue   = color.NRGBA{0x00, 0x72, 0xb2, 0xff}
	orange = color.NRGBA{0xe6, 0x9f, 0x00, 0xff}
	green  = color.NRGBA{0x00, 0x9e, 0x73, 0xff}
	red    = color.NRGBA{0xd5, 0x5e, 0x00, 0xff}
	purple = color.NRGBA{0xcc, 0x79, 0xa7, 0xff}
	black  = color.NRGBA{0x22, 0x22, 0x22, 0xff}
	grey   = color.NRGBA{0x66, 0x66, 0x66, 0xff}
	shade  = color.NRGBA{0x56, 0x56, 0x70, 0x26}
	grid   = color.NRGBA{0xe4, 0xe4, 0xe4, 0xff}
)

func hex(c color.NRGBA) string { return fmt.Sprintf("#%02x%02x%02x", c.R, c.G, c.B) }

// line is one course of a plot. A point whose Y is NaN breaks it.
type line struct {
	name   string
	colour color.NRGBA
	dashes []vg.Length
	points plotter.XYs
}

// figure is a plot with its words, as the page shows it.
type figure struct {
	Title, About string
	Legend       []legend
	SVG          template.HTML
}

type legend struct {
	Name   string
	Colour string
	Dashes string
	Block  bool
}

// chart is a plot that is being made.
type chart struct {
	p      *plot.Plot
	height vg.Length
}

func newChart(until float64, height vg.Length) *chart {
	p := plot.New()
	p.BackgroundColor = color.Transparent
	for _, s := range []*text.Style{&p.X.Tick.Label, &p.Y.Tick.Label, &p.X.Label.TextStyle, &p.Y.Label.TextStyle} {
		s.Font.Variant, s.Font.Size, s.Color = "Sans", 10, black
	}
	for _, a := range []*plot.Axis{&p.X, &p.Y} {
		a.Padding, a.LineStyle.Color, a.Tick.LineStyle.Color = 0, grey, grey
	}
	p.X.Min, p.X.Max = 0, until
	p.X.Tick.Marker = plot.TickerFunc(ticks)
	return &chart{p, height}
}

// ticks marks round seconds, a dozen at most.
func ticks(least, most float64) []plot.Tick {
	step := 1.0
	for _, s := range []float64{1, 2, 5, 10, 20, 30, 60, 120, 300, 600, 1800, 3600, 7200, 14400, 43200, 86400} {
		if step = s; (most-least)/s <= 14 {
			break
		}
	}
	step = max(step, math.Ceil((most-least)/14))
	var out []plot.Tick
	for x := math.Ceil(least/step) * step; x <= most; x += step {
		out = append(out, plot.Tick{Value: x, Label: strconv.FormatFloat(x, 'f', -1, 64) + " s"})
	}
	return out
}

// across draws lines at the marks of the Y axis.
type across struct{}

func (across) Plot(c draw.Canvas, p *plot.Plot) {
	_, y := p.Transforms(&c)
	for _, t := range p.Y.Tick.Marker.Ticks(p.Y.Min, p.Y.Max) {
		if t.Label != "" && t.Value >= p.Y.Min && t.Value <= p.Y.Max {
			c.StrokeLine2(draw.LineStyle{Color: grid, Width: 0.7}, c.Min.X, y(t.Value), c.Max.X, y(t.Value))
		}
	}
}

// shades shows when there was trouble, with its name at the top.
type shades struct {
	troubles []score.Fault
	names    bool
}

func (s shades) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	style := text.Style{Color: grey, Font: p.X.Tick.Label.Font, Handler: p.TextHandler, YAlign: draw.YTop}
	style.Font.Size = 9
	// A name goes to the first row in which the one before it has ended.
	var rows [3]vg.Length
	for i, t := range s.troubles[:min(shadedTroubles, len(s.troubles))] {
		from, until := x(max(p.X.Min, seconds(t.From))), x(min(p.X.Max, seconds(t.Until)))
		until = max(until, from+1)
		if from > c.Max.X || until < c.Min.X {
			continue
		}
		c.FillPolygon(shade, []vg.Point{{X: from, Y: c.Min.Y}, {X: until, Y: c.Min.Y}, {X: until, Y: c.Max.Y},
			{X: from, Y: c.Max.Y}})
		if !s.names || i >= labelledTroubles {
			continue
		}
		name := clip(t.Name, 24)
		wide := style.Width(name)
		for n := range rows {
			if at := min(from+2, c.Max.X-wide); rows[n] <= at {
				rows[n] = at + wide + 6
				c.FillText(style, vg.Point{X: at, Y: c.Max.Y - 2 - 11*vg.Length(n)}, name)
				break
			}
		}
	}
}

// lines draws lines, broken where there is nothing.
func (ch *chart) lines(ls []line) {
	for _, l := range ls {
		run := plotter.XYs{}
		flush := func() {
			if len(run) == 1 {
				// A lone point would not be seen.
				run = plotter.XYs{{X: run[0].X - 0.2, Y: run[0].Y}, {X: run[0].X + 0.2, Y: run[0].Y}}
			}
			if len(run) > 1 {
				ch.p.Add(&plotter.Line{XYs: run,
					LineStyle: draw.LineStyle{Color: l.colour, Width: 1.8, Dashes: l.dashes}})
			}
			run = plotter.XYs{}
		}
		for _, pt := range l.points {
			if math.IsNaN(pt.Y) {
				flush()
				continue
			}
			run = append(run, pt)
		}
		flush()
	}
}

// svg draws the chart. What stands for its sight is the label.
func (ch *chart) svg(label string) template.HTML {
	canvas := vgsvg.New(plotWidth, ch.height)
	c := draw.New(canvas)
	data := ch.p.DataCanvas(c)
	ch.p.Draw(draw.Crop(c, leftMargin-(data.Min.X-c.Min.X), -(14 - (c.Max.X - data.Max.X)), 2, -4))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return template.HTML("<p>This plot could not be drawn.</p>")
	}
	// The page needs the drawing without the head of a document of its own, and as wide as there is room.
	s := b.String()
	if i := strings.Index(s, "<svg"); i >= 0 {
		if j := strings.IndexByte(s[i:], '>'); j >= 0 {
			s = s[i+j+1:]
		}
	}
	s = strings.ReplaceAll(s, "<image ", `<image preserveAspectRatio="none" class="cells" `)
	s = strings.ReplaceAll(s, "data:image/jpg;", "data:image/png;")
	return template.HTML(fmt.Sprintf(`<svg viewBox="0 0 %g %g" role="img" aria-label="%s">`, plotWidth.Points(),
		ch.height.Points(), html.EscapeString(label)) + s)
}

// until is where the time of all plots of a run ends.
func until(f *score.Report) float64 {
	steps := 1
	for i := range f.Workers {
		steps = max(steps, len(f.Workers[i].Held))
	}
	return max(seconds(f.End), seconds(f.LoadStep)*float64(steps), 1)
}

// course makes points of the moments; what returns NaN breaks the line.
func course(f *score.Report, y func(*score.Interval) float64) plotter.XYs {
	out := make(plotter.XYs, len(f.Intervals))
	for i := range f.Intervals {
		m := &f.Intervals[i]
		out[i] = plotter.XY{X: seconds(m.T) + seconds(f.Step)/2, Y: y(m)}
	}
	return out
}

func (ch *chart) figure(title, about string, f *score.Report, ls []line) figure {
	ch.p.Add(shades{f.Faults, true}, across{})
	// The lines must not move the axes, which are set.
	x, y := [2]float64{ch.p.X.Min, ch.p.X.Max}, [2]float64{ch.p.Y.Min, ch.p.Y.Max}
	ch.lines(ls)
	ch.p.X.Min, ch.p.X.Max, ch.p.Y.Min, ch.p.Y.Max = x[0], x[1], y[0], y[1]
	fig := figure{Title: title, About: about, SVG: ch.svg(title)}
	for _, l := range ls {
		e := legend{Name: l.name, Colour: hex(l.colour)}
		for _, d := range l.dashes {
			e.Dashes += fmt.Sprintf("%g ", d.Points())
		}
		fig.Legend = append(fig.Legend, e)
	}
	return fig
}

func serviceFigure(f *score.Report) figure {
	ch := newChart(until(f), lineHeight)
	ch.p.Y.Min, ch.p.Y.Max = 0, 1.18
	ch.p.Y.Tick.Marker = plot.ConstantTicks([]plot.Tick{{Value: 0, Label: "0"}, {Value: 0.25},
		{Value: 0.5, Label: "0.5"}, {Value: 0.75}, {Value: 1, Label: "1"}})
	of := func(part func(*score.Interval) float64) plotter.XYs {
		return course(f, func(m *score.Interval) float64 {
			if m.Worth <= 0 {
				return math.NaN()
			}
			return part(m) / m.Worth
		})
	}
	from := seconds(f.Parts.WindowFrom)
	ls := []line{
		{"worth in time, of that asked", blue, nil, of(func(m *score.Interval) float64 { return m.InTimeWorth })},
		{"with what late answers still earn", green, []vg.Length{5, 3},
			of(func(m *score.Interval) float64 { return m.Earned })},
		{"the worst 10 s", red, []vg.Length{2, 2},
			plotter.XYs{{X: from, Y: f.Parts.Window}, {X: from + 10, Y: f.Parts.Window}}},
	}
	if len(f.Intervals) == 0 {
		ls = ls[:2]
	}
	return ch.figure("Service over time", "By the time for which jobs were meant. Shaded: trouble.", f, ls)
}

func jobsFigure(f *score.Report) figure {
	ch := newChart(until(f), lineHeight)
	rate := func(n func(*score.Interval) int) plotter.XYs {
		return course(f, func(m *score.Interval) float64 { return float64(n(m)) / seconds(f.Step) })
	}
	ls := []line{
		{"asked", black, nil, rate(func(m *score.Interval) int { return m.Asked })},
		{"late", orange, []vg.Length{5, 3}, rate(func(m *score.Interval) int { return m.Late })},
		{"refused", blue, []vg.Length{2, 2}, rate(func(m *score.Interval) int { return m.Refused })},
		{"failed", red, nil, rate(func(m *score.Interval) int { return m.Failed })},
		{"unanswered", purple, []vg.Length{8, 2, 2, 2}, rate(func(m *score.Interval) int { return m.Unanswered })},
	}
	most := 1.0
	for i := range ls {
		top := 0.0
		for _, pt := range ls[i].points {
			top = max(top, pt.Y)
		}
		most = max(most, top)
		if top == 0 {
			// Lines that lie on each other at the bottom say less than a word.
			ls[i].name, ls[i].points = ls[i].name+" (none)", nil
		}
	}
	ch.p.Y.Min, ch.p.Y.Max = 0, most*1.25
	return ch.figure("Jobs a second, and how they ended", "By the time for which they were meant.", f, ls)
}

func latencyFigure(f *score.Report) figure {
	ch := newChart(until(f), lineHeight)
	least, most := math.Inf(1), 0.0
	of := func(y func(*score.Interval) float64) plotter.XYs {
		return course(f, func(m *score.Interval) float64 {
			if m.Served() == 0 {
				return math.NaN()
			}
			v := max(0.1, y(m))
			least, most = min(least, v), max(most, v)
			return v
		})
	}
	ls := []line{
		{"p50", blue, nil, of(func(m *score.Interval) float64 { return m.P50 })},
		{"p99", red, []vg.Length{5, 3}, of(func(m *score.Interval) float64 { return m.P99 })},
	}
	if most == 0 {
		least, most = 1, 1000
	}
	// From a round figure to a round one, with room for the names of troubles.
	ch.p.Y.Min, ch.p.Y.Max = math.Pow(10, math.Floor(math.Log10(least))), math.Pow(10, math.Ceil(math.Log10(most*1.6)))
	ch.p.Y.Scale = plot.LogScale{}
	ch.p.Y.Tick.Marker = plot.TickerFunc(decades)
	return ch.figure("Latency of served jobs over time",
		"From the intended send time to the answer, retries included, on a scale of tens.", f, ls)
}

// decades marks 1, 2 and 5 of each power of ten, in words of time; those off the axis are not drawn.
func decades(least, most float64) []plot.Tick {
	var out []plot.Tick
	for d := math.Floor(math.Log10(least)); d <= math.Ceil(math.Log10(most)); d++ {
		for _, n := range []float64{1, 2, 5} {
			v := n * math.Pow(10, d)
			t := plot.Tick{Value: v}
			if n == 1 || most/least < 200 {
				t.Label = strconv.FormatFloat(v, 'g', 4, 64) + " ms"
				if v >= 1000 {
					t.Label = strconv.FormatFloat(v/1000, 'g', 4, 64) + " s"
				}
			}
			out = append(out, t)
		}
	}
	return out
}

// ramp goes from nearly white to dark blue, so that it is read in grey too.
type ramp struct{}

func (ramp) Colors() []color.Color {
	stops := []color.NRGBA{{0xf7, 0xfa, 0xfd, 0xff}, {0xc6, 0xdb, 0xef, 0xff}, {0x6b, 0xae, 0xd6, 0xff},
		{0x21, 0x71, 0xb5, 0xff}, {0x08, 0x30, 0x6b, 0xff}}
	const steps = 64
	out := make([]color.Color, steps)
	for i := range out {
		at := float64(i) / (steps - 1) * float64(len(stops)-1)
		n := min(int(at), len(stops)-2)
		mix := func(a, b uint8) uint8 { return uint8(math.Round(float64(a) + (at-float64(n))*(float64(b)-float64(a)))) }
		a, b := stops[n], stops[n+1]
		out[i] = color.NRGBA{mix(a.R, b.R), mix(a.G, b.G), mix(a.B, b.B), 0xff}
	}
	return out
}

// cells is the grid of a heat map: a row a worker, the first at the top.
type cells struct {
	step float64
	rows [][]float64
}

func (g cells) Dims() (c, r int)   { return len(g.rows[0]), len(g.rows) }
func (g cells) X(c int) float64    { return (float64(c) + 0.5) * g.step }
func (g cells) Y(r int) float64    { return float64(r) }
func (g cells) Z(c, r int) float64 { return g.rows[len(g.rows)-1-r][c] }

// sorted puts workers in the order of their zones and names.
func sorted(f *score.Report) []*score.Worker {
	out := make([]*score.Worker, 0, len(f.Workers))
	for i := range f.Workers {
		if len(f.Workers[i].Held) > 0 {
			out = append(out, &f.Workers[i])
		}
	}
	slices.SortStableFunc(out, func(a, b *score.Worker) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// workersFigure is a heat map of something over time, a row a worker. Of very many workers each row is the mean of
// some.
func workersFigure(f *score.Report, title, about string, of func(*score.Worker) []float32) (figure, bool) {
	workers := sorted(f)
	if len(workers) == 0 {
		return figure{}, false
	}
	together := (len(workers) + mostRows - 1) / mostRows
	step := seconds(f.LoadStep)
	g, most := cells{step: step}, 0.0
	var names []string
	for at := 0; at < len(workers); at += together {
		group := workers[at:min(at+together, len(workers))]
		row := make([]float64, len(of(group[0])))
		for c := range row {
			up := 0
			for _, w := range group {
				if v := of(w); c < len(v) && !downAt(w, (float64(c)+0.5)*step) {
					row[c] += float64(v[c])
					up++
				}
			}
			if up == 0 {
				row[c] = math.NaN()
				continue
			}
			row[c] /= float64(up)
			most = max(most, row[c])
		}
		g.rows = append(g.rows, row)
		names = append(names, clip(group[0].Name, 12))
	}
	height := vg.Length(min(max(14*float64(len(g.rows)), 60), 560)) + 26
	ch := newChart(until(f), height)
	most = max(1, math.Ceil(most))
	hm := &plotter.HeatMap{GridXYZ: g, Palette: ramp{}, NaN: orange, Min: 0, Max: most, Rasterized: true}
	ch.p.Add(hm)
	ch.p.X.Min, ch.p.X.Max = 0, until(f)
	ch.p.Y.Min, ch.p.Y.Max = -0.5, float64(len(g.rows))-0.5
	var marks []plot.Tick
	every := (len(names) + namedRows - 1) / namedRows
	for i := 0; i < len(names); i += every {
		marks = append(marks, plot.Tick{Value: float64(len(names) - 1 - i), Label: names[i] + " "})
	}
	ch.p.Y.Tick.Marker = plot.ConstantTicks(marks)
	ch.p.Y.Tick.Length = 0
	ch.p.Add(outlines{f.Faults})
	fig := figure{Title: title, About: about, SVG: ch.svg(title)}
	colours := ramp{}.Colors()
	for _, part := range []float64{0, 0.25, 0.5, 0.75, 1} {
		c := colours[int(part*float64(len(colours)-1))].(color.NRGBA)
		fig.Legend = append(fig.Legend, legend{Name: strconv.FormatFloat(part*most, 'g', 3, 64), Colour: hex(c),
			Block: true})
	}
	fig.Legend = append(fig.Legend, legend{Name: "no process", Colour: hex(orange), Block: true})
	return fig, true
}

// downAt says whether a worker had no process at a second of the run.
func downAt(w *score.Worker, at float64) bool {
	for _, d := range w.Downs {
		if at >= seconds(d.From) && at < seconds(d.Until) {
			return true
		}
	}
	return false
}

// outlines marks where troubles begin and end on a plot whose ground has colours of its own.
type outlines struct{ troubles []score.Fault }

func (o outlines) Plot(c draw.Canvas, p *plot.Plot) {
	x, _ := p.Transforms(&c)
	style := draw.LineStyle{Color: black, Width: 0.8, Dashes: []vg.Length{3, 3}}
	for _, t := range o.troubles[:min(shadedTroubles, len(o.troubles))] {
		for _, at := range []int64{t.From, t.Until} {
			if s := seconds(at); s > p.X.Min && s < p.X.Max {
				c.StrokeLine2(style, x(s), c.Min.Y, x(s), c.Max.Y)
			}
		}
	}
}

// figures draws all plots of a run.
func figures(f *score.Report) []figure {
	out := []figure{serviceFigure(f), latencyFigure(f), jobsFigure(f)}
	each := fmt.Sprintf("A row a worker, by zone and name; means over %g s. Dashed: where a trouble begins or ends.",
		seconds(f.LoadStep))
	if fig, ok := workersFigure(f, "Jobs that wait at each worker", each,
		func(w *score.Worker) []float32 { return w.Queued }); ok {
		out = append(out, fig)
	}
	if fig, ok := workersFigure(f, "Jobs that each worker holds, waiting and running", each,
		func(w *score.Worker) []float32 { return w.Held }); ok {
		out = append(out, fig)
	}
	return out
}
