package encoder

import (
	"time"

	"oleandertally/core/specifier"
)

// EncodeQueueCommand returns the message of one change of the queues.
func EncodeQueueCommand(command specifier.QueueCommand) *QueueCommand {
	m := &QueueCommand{Manifest: EncodeManifest(command.Manifest), Accept: EncodeQueuedJob(command.Accept), Cancel: command.Cancel,
		Enroll: command.Enroll, Dismiss: command.Dismiss, Advance: int64(command.Advance),
		Announced: command.Announced, Announcing: uint32(command.Announcing), Evacuate: command.Evacuate, Restore: command.Restore}
	for _, end := range command.Ends {
		m.Ends = append(m.Ends, &QueueEnd{Job: end.Job, Step: uint32(end.Step), Index: uint32(end.Index), Run: end.Run, How: uint32(end.Kind)})
	}
	return m
}

// DecodeQueueCommand returns an error if the job that the command accepts is invalid.
func DecodeQueueCommand(m *QueueCommand) (specifier.QueueCommand, error) {
	job, err := DecodeQueuedJob(m.GetAccept())
	if err != nil {
		return specifier.QueueCommand{}, err
	}
	command := specifier.QueueCommand{Manifest: DecodeManifest(m.GetManifest()), Accept: job, Cancel: m.GetCancel(),
		Enroll: m.GetEnroll(), Dismiss: m.GetDismiss(),
		Advance:   min(max(time.Duration(m.GetAdvance()), 0), specifier.MaxAdvance),
		Announced: m.GetAnnounced(), Announcing: specifier.Announcing(m.GetAnnouncing()),
		Evacuate: m.GetEvacuate(), Restore: m.GetRestore()}
	for _, end := range m.GetEnds() {
		command.Ends = append(command.Ends, specifier.TaskEnd{Job: end.Job, Step: int(end.Step), Index: int(end.Index), Run: end.Run, Kind: specifier.EndKind(end.How)})
	}
	return command, nil
}
