package sharer

// BacklogPlace is where a Backlog counts a piece of work.
type BacklogPlace int64

// distantPlace is the place of work that was added more than all steps ahead.
const distantPlace = BacklogPlace(1<<63 - 1)
