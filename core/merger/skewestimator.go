package merger

import (
	"cmp"
	"slices"
	"time"

	"oleandertally/core/recorder"
)

// skewEstimator estimates clock skews from bounds between pairs of clocks. Index 0 is the clock of the client that
// requested the logs.
type skewEstimator struct {
	processes     []string // sorted names; the first has index 1
	fromExchanges []bound  // from the requests and replies that fetched the logs
	fromMessages  []bound  // from messages between processes
}

func (s *skewEstimator) index(process string) int {
	i, _ := slices.BinarySearch(s.processes, process)
	return i + 1
}

// addExchanges adds the bounds that follow from the request and the reply that fetched each log.
func (s *skewEstimator) addExchanges(logs []Log) {
	for _, log := range logs {
		if !log.isTimed() || len(log.Events) == 0 {
			continue
		}
		process := s.index(log.Events[0].Process)
		s.fromExchanges = append(s.fromExchanges,
			bound{from: 0, to: process, maxAhead: log.ProcessTime.Sub(log.RequestedAt)},
			bound{from: process, to: 0, maxAhead: log.RepliedAt.Sub(log.ProcessTime)})
	}
}

// addMessages adds, for each pair of processes, the tightest bound that follows from the links between them.
func (s *skewEstimator) addMessages(events []recorder.Event, links []Link) {
	for _, l := range links {
		from, to := events[l.From], events[l.To]
		s.fromMessages = append(s.fromMessages, bound{from: s.index(from.Process), to: s.index(to.Process), maxAhead: to.At.Sub(from.At)})
	}
	slices.SortFunc(s.fromMessages, func(a, b bound) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to), cmp.Compare(a.maxAhead, b.maxAhead))
	})
	s.fromMessages = slices.CompactFunc(s.fromMessages, func(a, b bound) bool { return a.from == b.from && a.to == b.to })
}

// clocks returns the estimate for each process, sorted by name, and whether all bounds are consistent. Without a timed
// exchange, the first process is the reference. When the bounds contradict each other, only those of the exchanges are
// used.
func (s *skewEstimator) clocks() ([]Clock, bool) {
	reference := 0
	if len(s.fromExchanges) == 0 {
		reference = 1
	}
	bounds := slices.Concat(s.fromExchanges, s.fromMessages)
	clocks, ok := s.solve(reference, bounds)
	if !ok {
		bounds = s.fromExchanges
		clocks, _ = s.solve(reference, bounds)
	}
	for i, skew := range s.chooseSkews(reference, bounds) {
		clocks[i].Skew = skew
	}
	return clocks, ok
}

// chooseSkews returns skews that satisfy all bounds together. The maximum skews satisfy them, and so do the minimum skews
// and the middles between both. The clocks that lack a minimum or a maximum are fixed first, one after the other,
// because each choice narrows the ranges of the others.
func (s *skewEstimator) chooseSkews(reference int, bounds []bound) []time.Duration {
	bounds = slices.Clone(bounds)
	chosen := make([]time.Duration, len(s.processes))
	for {
		clocks, _ := s.solve(reference, bounds)
		unbounded := slices.IndexFunc(clocks, func(c Clock) bool { return !c.HasMinSkew || !c.HasMaxSkew })
		if unbounded < 0 {
			for i, clock := range clocks {
				chosen[i] = clock.estimate()
			}
			return chosen
		}
		fixed := clocks[unbounded].estimate()
		bounds = append(bounds, bound{from: reference, to: unbounded + 1, maxAhead: fixed},
			bound{from: unbounded + 1, to: reference, maxAhead: -fixed})
	}
}

// solve returns the range of each clock that the bounds allow, and whether the bounds are consistent.
func (s *skewEstimator) solve(reference int, bounds []bound) ([]Clock, bool) {
	reversed := make([]bound, len(bounds))
	for i, b := range bounds {
		reversed[i] = b.reverse()
	}
	upper, okUpper := shortestDistances(len(s.processes)+1, reference, bounds)
	lower, okLower := shortestDistances(len(s.processes)+1, reference, reversed)
	clocks := make([]Clock, len(s.processes))
	for i, name := range s.processes {
		clocks[i] = Clock{Process: name, MaxSkew: upper.length[i+1], HasMaxSkew: upper.known[i+1],
			MinSkew: -lower.length[i+1], HasMinSkew: lower.known[i+1]}
	}
	return clocks, okUpper && okLower
}
