package exporter

import "oleandertally/core/specifier"

// The values that each label can have, besides otherValue and emptyValue.
var (
	outcomes = []specifier.Outcome{specifier.Complete, specifier.Failed, specifier.NotRun}
	reasons  = []specifier.Reason{
		specifier.Invalid, specifier.Unauthorized, specifier.UnknownProfile, specifier.UnknownTeam,
		specifier.KeyReused, specifier.KeyExpired, specifier.DeadlinePast, specifier.NoWorker,
		specifier.Overloaded, specifier.QuotaExceeded, specifier.Unavailable, specifier.Stopping,
		specifier.Cancelled, specifier.TimedOut, specifier.StillRunning, specifier.TaskFailed, specifier.WorkerLost,
		specifier.OwnerLost, specifier.ResultsLost, specifier.Superseded,
	}
	verdicts = []specifier.Verdict{
		specifier.Accepted, specifier.Attached, specifier.Finished, specifier.Conflict, specifier.Stale,
		specifier.Fenced, specifier.Applied, specifier.Rejected, specifier.Full, specifier.NotLeader,
	}
	roles  = []specifier.Role{specifier.Entry, specifier.Agent, specifier.Controller}
	states = []specifier.MemberState{specifier.Up, specifier.Draining, specifier.Down}
)
