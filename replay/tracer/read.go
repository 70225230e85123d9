package tracer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	maxLine = 64 << 10
	maxJobs = 200_000
	// maxMillis is the maximum value of a time field: one day.
	maxMillis = 24 * 60 * 60 * 1000
	maxTasks  = 270
)

// Read reads and validates a trace. An error names the line and the field.
func Read(from io.Reader) (Trace, error) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
	var trace Trace
	for number := 1; lines.Scan(); number++ {
		if err := trace.readLine(number, lines.Bytes()); err != nil {
			return Trace{}, errors.Wrapf(err, "line %d", number)
		}
	}
	if err := lines.Err(); err != nil {
		return Trace{}, errors.Wrap(err, "read trace")
	}
	if trace.Name == "" {
		return Trace{}, errors.New("no header line")
	}
	return trace, nil
}

func (t *Trace) readLine(number int, line []byte) error {
	strict := json.NewDecoder(bytes.NewReader(line))
	strict.DisallowUnknownFields()
	if number == 1 {
		if err := strict.Decode(t); err != nil {
			return errors.Wrap(err, "header")
		}
		return t.check()
	}
	var job Job
	if err := strict.Decode(&job); err != nil {
		return errors.Wrap(err, "job")
	}
	if len(t.Jobs) == maxJobs {
		return errors.Newf("more than %d jobs", maxJobs)
	}
	if err := t.checkJob(job); err != nil {
		return err
	}
	t.Jobs = append(t.Jobs, job)
	return nil
}

func (t *Trace) check() error {
	switch {
	case t.Name == "":
		return errors.New("Name: is empty")
	case t.Entries < 1 || t.Entries > 16:
		return errors.Newf("Entries: is %d, expected 1 to 16", t.Entries)
	case t.LengthMillis < 1 || t.LengthMillis > maxMillis:
		return errors.Newf("LengthMillis: is %d, expected 1 to %d", t.LengthMillis, maxMillis)
	}
	for i, fault := range t.Faults {
		if err := fault.check(); err != nil {
			return errors.Newf("Faults[%d].%w", i, err)
		}
	}
	return nil
}

func (t *Trace) checkJob(job Job) error {
	last := 0
	if len(t.Jobs) > 0 {
		last = t.Jobs[len(t.Jobs)-1].AtMillis
	}
	switch {
	case job.AtMillis < last || job.AtMillis > maxMillis:
		return errors.Newf("AtMillis: is %d, expected %d to %d", job.AtMillis, last, maxMillis)
	case job.Entry < 0 || job.Entry >= t.Entries:
		return errors.Newf("Entry: is %d, expected 0 to %d", job.Entry, t.Entries-1)
	case job.TimeLeftMillis < 1 || job.TimeLeftMillis > maxMillis:
		return errors.Newf("TimeLeftMillis: is %d, expected 1 to %d", job.TimeLeftMillis, maxMillis)
	case len(job.RunMillis) < 1 || len(job.RunMillis) > maxTasks:
		return errors.Newf("RunMillis: has %d tasks, expected 1 to %d", len(job.RunMillis), maxTasks)
	}
	for i, run := range job.RunMillis {
		if run < 1 || run > maxMillis {
			return errors.Newf("RunMillis[%d]: is %d, expected 1 to %d", i, run, maxMillis)
		}
	}
	return nil
}
