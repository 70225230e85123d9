package exporter

// Class is a class of work by its run time, as the scheduler learned it.
type Class string

// The classes.
const (
	Short  Class = "Short"
	Medium Class = "Medium"
	Long   Class = "Long"
)

var classes = []Class{Short, Medium, Long}
