package server

import (
	"oleandertally/controller/dispatcher"
	"oleandertally/core/encoder"
)

// performQueue runs on the control goroutine and does not block.
func (c *Controller) performQueue(action dispatcher.Action) {
	switch action := action.(type) {
	case dispatcher.Reply:
		reply := encoder.EncodeQueueReply(action.Sequence, action.Reply)
		c.queues.calls.put(action.Stream, &encoder.QueueReplies{Items: []*encoder.QueueReply{reply}})
	case dispatcher.Order:
		c.queues.attends.put(action.Stream, encoder.EncodeLeaseOrder(action.Order))
	case dispatcher.LogEvent:
		c.logNote(action)
	}
}

// logNote writes one line for a decision. Fields that do not apply are left out.
func (c *Controller) logNote(note dispatcher.LogEvent) {
	if c.Logged != nil {
		c.Logged(note)
	}
	line := c.Log.Info().Str("Event", note.Event)
	for _, field := range []struct{ name, value string }{{"Job", note.Job}, {"Task", note.Task}, {"Agent", note.Agent}, {"Queue", note.Queue}, {"Detail", note.Detail}} {
		if field.value != "" {
			line = line.Str(field.name, field.value)
		}
	}
	if note.Run != 0 {
		line = line.Uint64("Run", note.Run)
	}
	if note.Age != 0 {
		line = line.Dur("AgeMillis", note.Age)
	}
	line.Int("Left", note.Count).Send()
}
