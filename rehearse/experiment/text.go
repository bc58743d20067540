package experiment

import (
	"fmt"
	"io"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
)

// grid prints rows under heads, numbers to the right.
func grid(w io.Writer, heads []string, rows [][]string) {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	style := t.Style()
	style.Options = table.Options{SeparateHeader: true}
	style.Format.Header = text.FormatDefault
	style.Box.PaddingLeft, style.Box.PaddingRight = "", "  "
	var configs []table.ColumnConfig
	head := table.Row{}
	for i, h := range heads {
		head = append(head, h)
		if i > 0 {
			configs = append(configs, table.ColumnConfig{Number: i + 1, Align: text.AlignRight,
				AlignHeader: text.AlignRight})
		}
	}
	t.SetColumnConfigs(configs)
	t.AppendHeader(head)
	for _, r := range rows {
		row := table.Row{}
		for _, c := range r {
			row = append(row, c)
		}
		t.AppendRow(row)
	}
	for l := range strings.Lines(t.Render()) {
		fmt.Fprintln(w, strings.TrimRight(l, " \n"))
	}
}

// mostPrinted is how many single runs a table names.
const mostPrinted = 10

// list prints what is to be said of single runs.
func list(w io.Writer, title string, lines []string) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(w, "%s:\n", title)
	for i, l := range lines {
		if i == mostPrinted {
			fmt.Fprintf(w, "  and %d more\n", len(lines)-i)
			break
		}
		fmt.Fprintf(w, "  %s\n", l)
	}
}

// Print writes what a sweep found, a line a point.
func (o *Swept) Print(w io.Writer) {
	column := o.summarised()
	heads := append([]string{"scenario"}, o.Sweep.moved()...)
	heads = append(heads, "runs", "service", "worst 10 s", "broken in")
	var rows [][]string
	for _, p := range o.points() {
		vs := valuesOf(p.changes)
		row := []string{p.scenario}
		for _, name := range o.Sweep.moved() {
			if vs[name] == 0 {
				row = append(row, "as drawn")
			} else {
				row = append(row, fmt.Sprintf("%g", vs[name]))
			}
		}
		row = append(row, fmt.Sprint(p.runs))
		for i, name := range column {
			if name == "service" || name == "worst_10s" {
				row = append(row, intervalText(p.figures[i], 3))
			}
		}
		rows = append(rows, append(row, fmt.Sprint(p.broken)))
	}
	grid(w, heads, rows)
	list(w, "RULES BROKEN", o.Broken)
	list(w, "Left out", o.LeftOut)
	if o.Partial {
		fmt.Fprintf(w, "PARTIAL: %d of %d runs are there; the same command goes on with them.\n", o.Done, o.Wanted)
	}
}
