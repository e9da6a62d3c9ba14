package measure

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// column is one figure of the table.
type column struct {
	name string
	text func(p *PolicyResult) string
}

// numberText formats one number of a policy's result.
func numberText(format string, value func(p *PolicyResult) float64) func(p *PolicyResult) string {
	return func(p *PolicyResult) string { return fmt.Sprintf(format, value(p)) }
}

func columns() []column {
	return []column{
		{"trainer idle time", numberText("%.1f%%", func(p *PolicyResult) float64 { return 100 * p.TrainerIdleShare })},
		{"steps trained", numberText("%.0f", func(p *PolicyResult) float64 { return float64(p.Steps) })},
		{"staleness mean", numberText("%.3f", func(p *PolicyResult) float64 { return p.StalenessMean })},
		{"staleness p99", numberText("%.0f", func(p *PolicyResult) float64 { return float64(p.StalenessP99) })},
		{"samples over the bound", numberText("%.0f", func(p *PolicyResult) float64 { return float64(p.SamplesOverBound) })},
		{"samples lost", numberText("%.0f", func(p *PolicyResult) float64 { return float64(p.SamplesLost) })},
		{"samples doubled", numberText("%.0f", func(p *PolicyResult) float64 { return float64(p.SamplesDuplicated) })},
		{"samples discarded", numberText("%.0f", func(p *PolicyResult) float64 { return float64(p.SamplesDiscarded) })},
		{"desk p50/p99 without trainers, ms", func(p *PolicyResult) string {
			return fmt.Sprintf("%.0f/%.0f", p.DeskAloneP50Ms, p.DeskAloneP99Ms)
		}},
		{"desk p50/p99 with trainers and faults, ms", func(p *PolicyResult) string {
			return fmt.Sprintf("%.0f/%.0f", p.DeskP50Ms, p.DeskP99Ms)
		}},
		{"desk p50/p99 under trainer overload, ms", func(p *PolicyResult) string {
			return fmt.Sprintf("%.0f/%.0f", p.DeskOverloadP50Ms, p.DeskOverloadP99Ms)
		}},
		{"desk requests not answered in time", numberText("%.2f%%", func(p *PolicyResult) float64 { return 100 * p.DeskFailedShare })},
		{"goodput at 1x, tokens/s", numberText("%.0f", func(p *PolicyResult) float64 { return p.Goodput1x })},
		{"goodput at 3x, tokens/s", numberText("%.0f", func(p *PolicyResult) float64 { return p.Goodput3x })},
		{"back to normal, s (-1: not in the run)", numberText("%.0f", func(p *PolicyResult) float64 { return p.RecoveryS })},
	}
}

// WriteText writes the result as a table, one column per policy.
func (r Result) WriteText(out io.Writer) error {
	t := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, d := range r.Deployments {
		fmt.Fprintf(t, "%s, seed %d, %.0f simulated seconds", d.Name, r.Seed, r.DurationS)
		for i := range d.Policies {
			fmt.Fprintf(t, "\t%s", d.Policies[i].Policy)
		}
		fmt.Fprintln(t)
		for _, c := range columns() {
			fmt.Fprint(t, c.name)
			for i := range d.Policies {
				fmt.Fprintf(t, "\t%s", c.text(&d.Policies[i]))
			}
			fmt.Fprintln(t)
		}
		for _, target := range d.Targets {
			verdict := "met"
			if !target.Met {
				verdict = "MISSED"
			}
			fmt.Fprintf(t, "target: %s\t%.3f\tlimit %.3f\t%s\n", target.Name, target.Figure, target.Limit, verdict)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}
