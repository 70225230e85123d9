package server

import (
	"oleandertally/controller/dispatcher"
	"oleandertally/core/encoder"
	"oleandertally/core/supervisor"
)

// performQueue carries out an action of the dispatcher. It runs on the control goroutine and does not block.
func (c *Controller) performQueue(action dispatcher.Action) {
	switch action := action.(type) {
	case dispatcher.Reply:
		reply := encoder.EncodeQueueReply(action.Sequence, action.Reply)
		c.queues.calls.put(action.Stream, &encoder.QueueReplies{Items: []*encoder.QueueReply{reply}})
	case dispatcher.Order:
		c.queues.sessions.put(action.Stream, encoder.EncodeLeaseOrder(action.Order))
	case dispatcher.LogEvent:
		c.logEvent(action)
	}
}

// logEvent writes one log line for a decision, without the fields that do not apply.
func (c *Controller) logEvent(event dispatcher.LogEvent) {
	if c.Logged != nil {
		c.Logged(event)
	}
	line := c.Log.Info().Str("Event", event.Event)
	for _, field := range []struct{ name, value string }{{"Job", event.Job}, {"Task", event.Task}, {"Agent", event.Agent}, {"Queue", event.Queue}, {"Detail", event.Detail}} {
		if field.value != "" {
			line = line.Str(field.name, field.value)
		}
	}
	if event.Run != 0 {
		line = line.Uint64("Run", event.Run)
	}
	if event.Age != 0 {
		line = line.Dur("AgeMillis", event.Age)
	}
	line.Int("Left", event.Count).Send()
}

// handlerFailed reports the panic of a handler.
func (c *Controller) handlerFailed(method string, cause *supervisor.PanicError) {
	c.Log.Error().Str(supervisor.FieldEvent, "HandlerFailed").Str("Method", method).Err(cause).Send()
	if c.Logged != nil {
		c.Logged(dispatcher.LogEvent{Event: "HandlerFailed", Detail: method})
	}
}
