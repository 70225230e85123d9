package merger

import (
	"cmp"
	"slices"
	"time"

	"oleandertally/core/recorder"
)

// skews collects the bounds between the clocks. Index 0 is the gatherer's clock.
type skews struct {
	names  []string // of the processes, from index 1, sorted
	timed  []bound  // from the exchanges that gathered the logs
	caused []bound  // from messages between processes
}

func (s *skews) index(process string) int {
	i, _ := slices.BinarySearch(s.names, process)
	return i + 1
}

// exchanges adds the bounds of the question and the answer that gathered each log.
func (s *skews) exchanges(logs []Log) {
	for _, log := range logs {
		if !log.isTimed() || len(log.Events) == 0 {
			continue
		}
		process := s.index(log.Events[0].Process)
		s.timed = append(s.timed,
			bound{from: 0, to: process, ahead: log.ProcessTime.Sub(log.RequestedAt)},
			bound{from: process, to: 0, ahead: log.RepliedAt.Sub(log.ProcessTime)})
	}
}

// messages adds the tightest bound of the links between each pair of processes.
func (s *skews) messages(events []recorder.Event, links []Link) {
	for _, l := range links {
		from, to := events[l.From], events[l.To]
		s.caused = append(s.caused, bound{from: s.index(from.Process), to: s.index(to.Process), ahead: to.At.Sub(from.At)})
	}
	slices.SortFunc(s.caused, func(a, b bound) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to), cmp.Compare(a.ahead, b.ahead))
	})
	s.caused = slices.CompactFunc(s.caused, func(a, b bound) bool { return a.from == b.from && a.to == b.to })
}

// clocks returns the estimate for each process by name, and whether all bounds agree. Without a
// timed exchange the first process is the reference. When the bounds disagree, only the
// exchanges count.
func (s *skews) clocks() ([]Clock, bool) {
	reference := 0
	if len(s.timed) == 0 {
		reference = 1
	}
	bounds := slices.Concat(s.timed, s.caused)
	clocks, ok := s.solve(reference, bounds)
	if !ok {
		bounds = s.timed
		clocks, _ = s.solve(reference, bounds)
	}
	for i, skew := range s.choose(reference, bounds) {
		clocks[i].Skew = skew
	}
	return clocks, ok
}

// choose returns skews that meet all bounds together: the middle of two bounds does. A process
// that has at most one bound is fixed first, one after the other, because each choice narrows
// the bounds of the others.
func (s *skews) choose(reference int, bounds []bound) []time.Duration {
	bounds = slices.Clone(bounds)
	chosen := make([]time.Duration, len(s.names))
	for {
		clocks, _ := s.solve(reference, bounds)
		free := slices.IndexFunc(clocks, func(c Clock) bool { return !c.HasMinSkew || !c.HasMaxSkew })
		if free < 0 {
			for i, clock := range clocks {
				chosen[i] = clock.estimate()
			}
			return chosen
		}
		fixed := clocks[free].estimate()
		bounds = append(bounds, bound{from: reference, to: free + 1, ahead: fixed},
			bound{from: free + 1, to: reference, ahead: -fixed})
	}
}

func (s *skews) solve(reference int, bounds []bound) ([]Clock, bool) {
	reversed := make([]bound, len(bounds))
	for i, b := range bounds {
		reversed[i] = b.reverse()
	}
	most, okMost := shortest(len(s.names)+1, reference, bounds)
	least, okLeast := shortest(len(s.names)+1, reference, reversed)
	clocks := make([]Clock, len(s.names))
	for i, name := range s.names {
		clocks[i] = Clock{Process: name, MaxSkew: most.length[i+1], HasMaxSkew: most.known[i+1],
			MinSkew: -least.length[i+1], HasMinSkew: least.known[i+1]}
	}
	return clocks, okMost && okLeast
}
