package scale

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"

	"laddertide/rehearse/scale/measurement"
)

// Table writes points as a table, a row each.
func Table(out io.Writer, varied measurement.Parameter, points []measurement.Point) {
	t := table.NewWriter()
	t.SetOutputMirror(out)
	name := string(varied)
	if name == "" {
		name = "workers"
		varied = measurement.Workers
	}
	t.AppendHeader(table.Row{name, "seed", "CPU %", "steady MB", "peak MB", "descriptors", "control B/s", "packets/s", "service",
		"counts"})
	for i := range points {
		t.AppendRow(rowOf(varied, &points[i]))
	}
	t.Render()
}

const megabyte = 1 << 20

func rowOf(varied measurement.Parameter, p *measurement.Point) table.Row {
	value, _ := p.Parameters.Value(varied)
	row := table.Row{fmt.Sprintf("%g", value), p.Seed}
	u := p.Usage(measurement.Scheduler)
	if u == nil {
		u = p.Usage(measurement.LedgerMember)
	}
	if u != nil && p.WindowSeconds > 0 {
		bytes, packets := control(u)
		row = append(row, fmt.Sprintf("%.2f", 100**u.CPUSeconds/p.WindowSeconds), fmt.Sprintf("%.1f", *u.MemorySteady/megabyte),
			fmt.Sprintf("%.1f", *u.MemoryPeak/megabyte), *u.Descriptors, fmt.Sprintf("%.0f", bytes/p.WindowSeconds),
			fmt.Sprintf("%.1f", packets/p.WindowSeconds))
	} else {
		row = append(row, "", "", "", "", "", "")
	}
	service := ""
	if p.Service != nil {
		service = fmt.Sprintf("%.3f", p.Service.Share)
	}
	counts := "yes"
	if !p.Valid {
		counts = "no: " + p.WhyNot
	}
	return append(row, service, counts)
}

// control sums up the bytes and packets for control that a scheduler counted itself, both directions.
func control(u *measurement.Usage) (bytes, packets float64) {
	for _, t := range u.Traffic {
		if t.Path != measurement.Control || t.Source != measurement.DaemonCounter {
			continue
		}
		if t.Bytes != nil {
			bytes += *t.Bytes
		}
		if t.Messages != nil && t.Kind == kindMembership {
			packets += *t.Messages
		}
	}
	return bytes, packets
}
