package dispatcher

import (
	"fmt"
	"time"

	"oleandertally/core/specifier"
)

// unavailable is the reply of a controller that does not lead; another controller may be able to answer.
var unavailable = specifier.QueueReply{Result: specifier.QueueUnavailable, Detail: "this controller does not lead"}

func (d *Dispatcher) handleCall(event CallReceived) {
	from := waiter{stream: event.Stream, sequence: event.Sequence}
	if event.Call.Verb == specifier.AbandonQueued {
		d.abandon(from)
		return
	}
	if !d.leading || !d.Leading(d.now) || !d.EnoughVoters() {
		d.reply(from, unavailable)
		return
	}
	switch event.Call.Verb {
	case specifier.PutManifest:
		d.putManifest(from, event.Call.Manifest)
		return
	case specifier.GetManifest:
		d.getManifest(from)
		return
	case specifier.EvacuateZone, specifier.RestoreZone:
		d.changeZone(from, event.Call)
		return
	}
	if d.Recorder.Manifest().Version == 0 {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueRefused, RetryAfter: time.Second, Detail: "there is no manifest yet"})
		return
	}
	d.handleJobCall(from, event.Call)
}

// handleJobCall handles a call for a queue or one of its jobs.
func (d *Dispatcher) handleJobCall(from waiter, call specifier.QueueCall) {
	t := d.resolve(call)
	if !t.queueFound && (call.Verb == specifier.QueryQueued || !t.knowsJob()) {
		d.reply(from, specifier.QueueReply{Result: specifier.QueueNotFound, Detail: "no such queue"})
		return
	}
	switch call.Verb {
	case specifier.SubmitQueued:
		d.submit(from, call, t)
	case specifier.QueryQueued:
		d.query(from, call, t)
	case specifier.CancelQueued:
		d.cancel(from, call, t)
	default:
		d.reply(from, specifier.QueueReply{Result: specifier.QueueInvalid, Detail: fmt.Sprintf("unknown call %d", call.Verb)})
	}
}
