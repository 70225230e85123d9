package limiter

// Claim is one team's part in an allocation.
type Claim struct {
	Share     float64 // weight of the team
	Need      float64 // slots that the team could use
	Allocated float64 // slots, set by Allocate
}

// Allocate divides slots by weighted max-min fairness: each claim is allocated its need or its weighted part, whichever
// is less, and slots that some claims do not need are divided among the other claims in the same way.
func Allocate(slots float64, claims []Claim) {
	for i := range claims {
		claims[i].Allocated = 0
	}
	// Each round satisfies at least one claim, or allocates all remaining slots.
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
