package loadplayer

// offer is the worth of a request and the work that it needs, for the bound of what can be earned.
type offer struct {
	worth float64
	work  float64 // core-seconds on a worker of speed 1
}

// density returns the worth of a core-second.
func (o offer) density() float64 { return o.worth / o.work }
