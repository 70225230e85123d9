package loadplayer

import (
	"cmp"
	"slices"
	"time"
)

// offer adds a request to those of the window in which it is sent.
func (p *Player) offer(q *request, sentAt time.Time) {
	number := int(sentAt.Sub(p.start) / windowSpan)
	for len(p.offers) <= number {
		p.offers = append(p.offers, nil)
	}
	p.offers[number] = append(p.offers[number], offer{worth: p.worth(q), work: q.coreSeconds()})
}

// bound returns the share of all worth, and that of the two worst windows, that a policy could earn that knows all arrivals, run times
// and faults in advance. It is a fractional relaxation: in each window the requests that are worth most for their work are
// served until the core-seconds of the workers without a fault, times their speeds, are used up, and the last one in part. Waiting,
// placing and the width of tasks cost nothing. Work does not move from one window to the next, so that a real policy may exceed the
// bound of a window by what it serves in the first moments of the next one.
func (p *Player) bound() (all, worst float64) {
	var shares []float64
	earned, total := 0.0, 0.0
	for number, offers := range p.offers {
		capacity := p.capacity(time.Duration(number) * windowSpan)
		slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(b.density(), a.density()) })
		inWindow, ofWindow := 0.0, 0.0
		for _, each := range offers {
			served := min(each.work, capacity)
			capacity -= served
			inWindow, ofWindow = inWindow+served*each.density(), ofWindow+each.worth
		}
		earned, total = earned+inWindow, total+ofWindow
		if ofWindow > 0 {
			shares = append(shares, inWindow/ofWindow)
		}
	}
	return earned / total, meanOfWorst(shares)
}

// capacity returns the core-seconds, on a worker of speed 1, that the workers can do in the window that begins at a time since the start.
func (p *Player) capacity(from time.Duration) float64 {
	total := 0.0
	for _, w := range p.workers {
		seconds := windowSpan.Seconds()
		for _, fault := range w.faults {
			lost := max(min(fault.At+fault.For, from+windowSpan)-max(fault.At, from), 0).Seconds()
			if fault.Kind == Slow {
				lost *= 1 - 1/fault.Factor
			}
			seconds -= lost
		}
		total += max(seconds, 0) * w.speed * float64(w.capacity.MilliCores) / 1000
	}
	return total
}
