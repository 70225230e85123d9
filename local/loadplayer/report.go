package loadplayer

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Report is the outcome of a play.
type Report struct {
	Scenario    string
	Seed        uint64
	Kinds       []Result
	Windows     []Result
	Zones       []Result // by the callers' zone
	WideJobs    Result   // jobs of more than twice the mean number of tasks of their kind
	Wasted      float64  // core-seconds spent on jobs that were not answered in full
	Worked      float64  // core-seconds spent in all
	WorstWindow float64  // mean share of the two worst windows
	// Bound and BoundWorstWindow are what a policy that knows everything could earn, as shares of the worth of all windows and of the
	// two worst windows.
	Bound            float64
	BoundWorstWindow float64
}

// Earned returns the share of the worth of all windows that was earned. Share counts each kind the same instead.
func (r Report) Earned() float64 {
	earned, weight := 0.0, 0.0
	for _, each := range r.Windows {
		earned, weight = earned+each.Earned, weight+each.Weight
	}
	return earned / weight
}

// Share returns the mean share over the kinds, each of which counts the same.
func (r Report) Share() float64 {
	total := 0.0
	for _, each := range r.Kinds {
		total += each.Share()
	}
	return total / float64(len(r.Kinds))
}

// InTime returns the mean over the kinds of the share that was answered within the objective.
func (r Report) InTime() float64 {
	total := 0.0
	for _, each := range r.Kinds {
		total += each.WeightInTime / max(each.Weight, 1)
	}
	return total / float64(len(r.Kinds))
}

// WorstKind returns the share of the kind that is served worst.
func (r Report) WorstKind() float64 {
	worst := 1.0
	for _, each := range r.Kinds {
		worst = min(worst, each.Share())
	}
	return worst
}

// setWorstWindow sets the mean share of the two worst windows.
func (r *Report) setWorstWindow() {
	var shares []float64
	for _, each := range r.Windows {
		if each.Asked > 0 {
			shares = append(shares, each.Share())
		}
	}
	r.WorstWindow = meanOfWorst(shares)
}

// meanOfWorst returns the mean of the two lowest shares.
func meanOfWorst(shares []float64) float64 {
	if len(shares) < 2 {
		return 1
	}
	slices.Sort(shares)
	return (shares[0] + shares[1]) / 2
}

// Print writes the report as a table.
func (r Report) Print(out io.Writer) error {
	fmt.Fprintf(out, "%s, seed %d: share %.3f, in time %.3f, worst windows %.3f, worst kind %.3f, %.0f of %.0f core-seconds wasted\n",
		r.Scenario, r.Seed, r.Share(), r.InTime(), r.WorstWindow, r.WorstKind(), r.Wasted, r.Worked)
	fmt.Fprintf(out, "earned %.3f and %.3f in the worst windows; with everything known at most %.3f and %.3f\n", r.Earned(), r.WorstWindow, r.Bound, r.BoundWorstWindow)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\tasked\tin time\tlate\trefused early\trefused late\twith workers free\tfailed\tunanswered\tshare\t")
	for _, each := range slices.Concat(r.Kinds, r.Zones, []Result{r.WideJobs}) {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n", each.Name, each.Asked, each.InTime, each.Late, each.RefusedEarly,
			each.RefusedLate, each.RefusedFree, each.Failed, each.Unanswered, each.Share())
	}
	for _, each := range r.Windows {
		if each.Asked > 0 {
			fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\tbusy %.2f\t\n", each.Name, each.Asked, each.InTime, each.Late, each.RefusedEarly,
				each.RefusedLate, each.RefusedFree, each.Failed, each.Unanswered, each.Share(), each.Busy)
		}
	}
	return table.Flush()
}
