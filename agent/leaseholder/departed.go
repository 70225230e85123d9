package leaseholder

// Departed reports that the worker with this ID has announced that it terminates.
type Departed struct{ ID string }
