package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteText writes the results as tables.
func (m *Report) WriteText(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "team\tservice\tsent\tserved\trefused\tcost\twait p50\twait p99\tfirst p50\tfirst p99 ms\t")
	for _, t := range m.Teams {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t%.1f\t%.1f\t\n", t.Team, t.Service, t.Sent, t.Served,
			t.Refused, t.Cost, t.WaitP50, t.WaitP99, t.FirstTokenP50, t.FirstTokenP99)
	}
	w.Flush()
	fmt.Fprintln(out)
	w = tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, g := range m.Services {
		fmt.Fprintf(w, "service %s\tgap %.2f\tbetween %s\tcostliest %.0f\tbusy %.3f\twork waited %.1f s\n",
			g.Service, g.Gap, g.Pair, g.MaxCost, g.Utilization, g.BacklogSeconds)
	}
	for _, p := range m.Phases {
		fmt.Fprintf(w, "phase %s\tflood %t\treceived %.3f of the offered\tkept %.3f\turgent first token p99 %.1f ms\t\n",
			p.Name, p.Flood, p.ReceivedShare, p.RetainedShare, p.UrgentFirstTokenP99)
	}
	w.Flush()
	fmt.Fprintf(out, "gap %.2f (first half %.2f)  busy %.3f  kept %.3f  control %.0f B/s a host (mean %.0f)\n",
		m.Gap, m.FirstHalfGap, m.Utilization, m.RetainedShare, m.MaxControlRate, m.MeanControlRate)
	fmt.Fprintf(out, "sent %d  served %d  refused %d  abandoned %d  broken %d  lost %d  waited %d  wrong %d  doubled %d  untrue %d\n",
		m.Sent, m.Served, m.Refused, m.Abandoned, m.Broken, m.Lost, m.RefusedWhileIdle, m.Wrong, m.DuplicateOrders, m.RanThoughNotRun)
	for _, t := range m.Traffic {
		fmt.Fprintf(out, "control %-8s %7.1f messages/s %8.1f B/s sent by a host\n", t.Kind, t.Messages, t.Bytes)
	}
	for _, f := range m.Errors {
		fmt.Fprintln(out, "fault", f)
	}
	for _, c := range m.Codes {
		fmt.Fprintf(out, "refused %s: %d\n", c.Code, c.Count)
	}
}
