package sharer

import (
	"math"
	"slices"
	"time"
)

// Ledger records how much work the parties that compete within a kind, such as the zones of the callers, ask for and get. It answers
// demand above capacity of which some parties get a smaller part than others, because their calls arrive later or have shorter
// objectives. The zero value is empty.
type Ledger struct {
	parties []*party // in the order in which they appeared
	at      time.Time
}

// party is what one party has asked for and got, as sums that fade with ledgerSpan.
type party struct {
	name          string
	asked, served float64
}

const (
	// ledgerSpan is the time after which demand and service count a third; callers count the worst two seconds.
	ledgerSpan = 2 * time.Second
	// maxParties bounds the parties that are told apart. Further ones count as one.
	maxParties = 16
	// A party competes if its demand is at least this part of an equal part of all demand.
	competingPart = 0.25
	// minAsked is the sum from which on a party has demand.
	minAsked = 1e-6
)

// Ask records work that a party asks for.
func (l *Ledger) Ask(now time.Time, name string, work float64) {
	l.fade(now)
	l.party(name).asked += work
}

// Serve records work of a party that is admitted, or with negative work that it is not served after all.
func (l *Ledger) Serve(now time.Time, name string, work float64) {
	l.fade(now)
	l.party(name).served += work
}

// Lead returns by how much the part of its demand that a party gets exceeds that of the competing party that gets least; at least 0.
func (l *Ledger) Lead(now time.Time, name string) float64 {
	l.fade(now)
	own, total, lead := l.party(name), 0.0, 0.0
	for _, each := range l.parties {
		total += each.asked
	}
	for _, each := range l.parties {
		if each.asked > minAsked && own.asked > minAsked && each.asked >= competingPart*total/float64(len(l.parties)) {
			lead = max(lead, own.served/own.asked-each.served/each.asked)
		}
	}
	return lead
}

// fade reduces the sums for the time that has passed.
func (l *Ledger) fade(now time.Time) {
	passed := now.Sub(l.at)
	if passed <= 0 {
		return
	}
	factor := math.Exp(-passed.Seconds() / ledgerSpan.Seconds())
	for _, each := range l.parties {
		each.asked, each.served = each.asked*factor, each.served*factor
	}
	l.at = now
}

// party returns the party of a name, and adds it if it is new. When there are too many, those without demand are removed.
func (l *Ledger) party(name string) *party {
	if at := slices.IndexFunc(l.parties, func(p *party) bool { return p.name == name }); at >= 0 {
		return l.parties[at]
	}
	if len(l.parties) >= maxParties {
		l.parties = slices.DeleteFunc(l.parties, func(p *party) bool { return p.asked < minAsked })
	}
	if len(l.parties) >= maxParties {
		return l.parties[maxParties-1]
	}
	added := &party{name: name}
	l.parties = append(l.parties, added)
	return added
}
