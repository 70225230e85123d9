package container

// Member is an item of Levels. An item is in at most one Levels at a time with the same Member.
type Member[T any] struct {
	Item    T
	level   int
	index   int
	present bool
}

// Level returns the member's level. It is meaningful only while the member is present.
func (m *Member[T]) Level() int { return m.level }

// Present reports whether the member is in a Levels.
func (m *Member[T]) Present() bool { return m.present }
