package verifier

import (
	"fmt"

	"oleandertally/core/recorder"
)

func (h *history) fenceHolds() []Violation {
	var found []Violation
	fences := make(map[string]recorder.Event) // the fence with the highest epoch so far, by agent
	for _, event := range h.events {
		fence, ok := fences[event.Process]
		switch event.Kind {
		case recorder.JobFenced:
			if !ok || event.Epoch > fence.Epoch {
				fences[event.Process] = event
			}
		case recorder.TaskStarted:
			if ok && event.Epoch < fence.Epoch {
				found = append(found, Violation{Rule: FenceHolds, Event: event, Others: []recorder.Event{fence},
					Detail: fmt.Sprintf("started after fence #%d at epoch %d", fence.Sequence, fence.Epoch)})
			}
		}
	}
	return found
}
