package exporter

// Class is a class of tasks by run time, as the scheduler estimates it.
type Class string

// The classes, by increasing run time.
const (
	Short  Class = "Short"
	Medium Class = "Medium"
	Long   Class = "Long"
)

var classes = []Class{Short, Medium, Long}
