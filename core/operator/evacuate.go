package operator

import "context"

// Evacuate carries out an order and returns once it is in force everywhere. It returns a NotLeaderError when this controller is not the
// leader, and an error marked as ErrInvalid for an order that can never be carried out.
type Evacuate func(ctx context.Context, order Evacuation) error
