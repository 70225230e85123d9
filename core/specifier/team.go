package specifier

// Team is a group of callers with a quota.
type Team struct {
	Name  string  `yaml:"Name"`
	Share float64 `yaml:"Share"` // weight in fair sharing; default 1
}

// maxShare keeps sums of shares exact enough for fair sharing.
const maxShare = 1e6

// Check returns every problem of the team's fields, or nil.
func (t Team) Check() *Problems {
	found := &Problems{}
	found.Name("Name", t.Name)
	checkRange(found, "Share", t.Share, 0, maxShare)
	return found.OrNil()
}
