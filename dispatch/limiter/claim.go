package limiter

// Claim is what one team asks for and gets.
type Claim struct {
	Share     float64 // weight
	Need      float64 // slots that the team could use
	Allocated float64 // slots, set by Fill
}

// Allocate divides slots by weighted max-min fairness: each claim gets its need or its weighted part, whichever is
// less, and what some do not need is divided among the others in the same way.
func Allocate(slots float64, claims []Claim) {
	for i := range claims {
		claims[i].Allocated = 0
	}
	// Each round satisfies at least one claim, or divides all that is left.
	for range claims {
		weight := 0.0
		for _, each := range claims {
			if each.Allocated < each.Need {
				weight += each.Share
			}
		}
		if weight <= 0 || slots <= 0 {
			return
		}
		left := slots
		for i := range claims {
			each := &claims[i]
			if each.Allocated < each.Need {
				given := min(each.Need-each.Allocated, slots*each.Share/weight)
				each.Allocated += given
				left -= given
			}
		}
		if left == slots {
			return
		}
		slots = left
	}
}
