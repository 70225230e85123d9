package encoder

import (
	"github.com/cockroachdb/errors"

	"oleandertally/core/specifier"
)

// EncodeBatch returns the content of one log entry.
func EncodeBatch(batch specifier.Batch) *LogBatch {
	m := &LogBatch{Advance: int64(batch.Advance), MaxSubmissions: uint32(batch.MaxSubmissions)}
	for _, command := range batch.Commands {
		m.Commands = append(m.Commands, EncodeCommand(command))
	}
	for _, command := range batch.QueueCommands {
		m.Queue = append(m.Queue, EncodeQueueCommand(command))
	}
	return m
}

// DecodeBatch accepts at most MaxBatch commands. Errors give the position of a faulty command.
func DecodeBatch(m *LogBatch) (specifier.Batch, error) {
	c := &checker{}
	batch := specifier.Batch{Advance: c.duration("LogBatch.Advance", m.GetAdvance(), 0, specifier.MaxAdvance), MaxSubmissions: int(m.GetMaxSubmissions())}
	if batch.MaxSubmissions > specifier.MaxSubmissions {
		c.problems.Add("LogBatch.MaxSubmissions", "is %d, expected at most %d", batch.MaxSubmissions, specifier.MaxSubmissions)
	}
	if c.length("LogBatch.Commands", len(m.GetCommands()), specifier.MaxBatch) {
		for i, item := range m.GetCommands() {
			batch.Commands = append(batch.Commands, c.item(indexed("LogBatch.Commands", i), item))
		}
	}
	if err := c.err(); err != nil {
		return specifier.Batch{}, err
	}
	for i, item := range m.GetQueue() {
		command, err := DecodeQueueCommand(item)
		if err != nil {
			return specifier.Batch{}, errors.Wrapf(err, "LogBatch.Queue[%d]", i)
		}
		batch.QueueCommands = append(batch.QueueCommands, command)
	}
	return batch, nil
}

// item decodes one command and prefixes its problems with path.
func (c *checker) item(path string, m *Command) specifier.Command {
	inner := &checker{}
	command := inner.command("Command", m)
	c.problems.Merge(path, inner.problems.OrNil())
	return command
}
