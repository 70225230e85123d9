package leaseholder

// Identified is the answer to Identify.
type Identified struct{ Answer }
