package specifier

// Resources is an amount of a worker's resources.
type Resources struct {
	MilliCores   int
	Memory       int // MiB
	Accelerators int
}

// Fits reports whether the amount is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCores <= free.MilliCores && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Plus returns the sum.
func (r Resources) Plus(other Resources) Resources {
	return Resources{MilliCores: r.MilliCores + other.MilliCores, Memory: r.Memory + other.Memory, Accelerators: r.Accelerators + other.Accelerators}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(other Resources) Resources {
	return Resources{MilliCores: r.MilliCores - other.MilliCores, Memory: r.Memory - other.Memory, Accelerators: r.Accelerators - other.Accelerators}
}
