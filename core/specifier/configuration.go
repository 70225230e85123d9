package specifier

// Configuration is everything that operators set at run time, at one revision.
type Configuration struct {
	Revision Revision
	Profiles map[string]Profile
	Teams    map[string]Team // empty: every team is accepted with share 1
}
