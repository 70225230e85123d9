package specifier

// Team is a group of callers with a quota.
type Team struct {
	Name  string  `yaml:"Name"`
	Share float64 `yaml:"Share"` // weight in fair sharing; default 1
}
