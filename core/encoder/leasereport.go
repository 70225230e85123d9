package encoder

import (
	"time"

	"oleandertally/core/specifier"
)

// EncodeLeaseReport returns the message of one report.
func EncodeLeaseReport(report specifier.LeaseReport) *QueueReport {
	m := &QueueReport{Agent: report.Agent, Incarnation: uint64(report.Incarnation), Renewal: report.Renewal, Orders: report.LastOrder,
		Settled: report.AllRunsKnown, Token: report.Token, Leaving: report.Leaving, Listed: report.RunsComplete, EndsCut: report.EndsCut, Ends: encodeEnds(report.Ends), Refused: encodeEnds(report.RefusedStarts),
		Zone: report.Zone, EvacuationVersion: report.EvacuationVersion}
	if !report.WorkerStartedAt.IsZero() {
		m.WorkerBorn = report.WorkerStartedAt.UnixNano()
	}
	if worker := report.Worker; worker != nil {
		m.Worker = &QueueWorker{ID: worker.ID, Born: worker.StartedAt.UnixNano(), Pool: worker.Pool, Capacity: EncodeResources(worker.Capacity),
			Labels: worker.Labels, Draining: worker.Draining, ColdFor: int64(worker.ColdFor)}
	}
	for _, run := range report.Runs {
		m.Runs = append(m.Runs, &QueueRun{Task: run.Key.Task, Run: run.Key.Run, Saved: run.Checkpoint, Room: EncodeResources(run.Resources), Starting: run.Starting, Stopping: run.Stopping})
	}
	return m
}

// DecodeLeaseReport returns the report.
func DecodeLeaseReport(m *QueueReport) specifier.LeaseReport {
	report := specifier.LeaseReport{Agent: m.Agent, Incarnation: specifier.Incarnation(m.Incarnation), Renewal: m.Renewal, LastOrder: m.Orders,
		AllRunsKnown: m.Settled, Token: m.Token, Leaving: m.Leaving, RunsComplete: m.Listed, EndsCut: m.EndsCut, Ends: decodeEnds(m.Ends), RefusedStarts: decodeEnds(m.Refused),
		Zone: m.Zone, EvacuationVersion: m.EvacuationVersion}
	if m.WorkerBorn != 0 {
		report.WorkerStartedAt = time.Unix(0, m.WorkerBorn)
	}
	if worker := m.Worker; worker != nil {
		report.Worker = &specifier.LeasedWorker{ID: worker.ID, StartedAt: time.Unix(0, worker.Born), Pool: worker.Pool,
			Capacity: DecodeResources(worker.Capacity), Labels: worker.Labels, Draining: worker.Draining,
			ColdFor: min(max(time.Duration(worker.ColdFor), 0), specifier.MaxTimeLeft)}
	}
	for _, run := range m.Runs {
		report.Runs = append(report.Runs, specifier.LeasedRun{Key: specifier.RunKey{Task: run.Task, Run: run.Run}, Checkpoint: run.Saved,
			Resources: DecodeResources(run.Room), Starting: run.Starting, Stopping: run.Stopping})
	}
	return report
}

func encodeEnds(ends []specifier.RunEnd) []*QueueRunEnd {
	var list []*QueueRunEnd
	for _, end := range ends {
		list = append(list, &QueueRunEnd{Number: end.Number, Task: end.Key.Task, Run: end.Key.Run, How: uint32(end.Kind), Saved: end.Checkpoint})
	}
	return list
}

func decodeEnds(list []*QueueRunEnd) []specifier.RunEnd {
	var ends []specifier.RunEnd
	for _, m := range list {
		ends = append(ends, specifier.RunEnd{Number: m.Number, Key: specifier.RunKey{Task: m.Task, Run: m.Run}, Kind: specifier.EndKind(m.How), Checkpoint: m.Saved})
	}
	return ends
}
