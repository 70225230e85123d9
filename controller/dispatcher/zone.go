package dispatcher

// Zone is an availability zone as the leading controller knows it.
type Zone struct {
	Name      string
	Workers   int
	Evacuated bool
}
