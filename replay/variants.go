package main

import (
	"time"

	"oleandertally/core/specifier"
	"oleandertally/dispatch/admitter"
	"oleandertally/dispatch/orderer"
	"oleandertally/dispatch/scheduler"
	"oleandertally/replay/player"
)

// variants returns the compared variants, simple baselines first.
func variants() []player.Variant {
	byWidth := orderer.ByWidth{Penalty: orderer.TaskPenalty}
	return []player.Variant{
		{Name: "random, FIFO", Order: orderer.ByArrival{}, FIFO: true, NewScheduler: newEngine[scheduler.Random]},
		{Name: "two choices, FIFO", Order: orderer.ByArrival{}, FIFO: true, NewScheduler: newEngine[scheduler.TwoChoices]},
		{Name: "least loaded, FIFO", Order: orderer.ByArrival{}, FIFO: true, NewScheduler: newEngine[scheduler.LeastLoaded]},
		{Name: "two choices", Order: byWidth, NewScheduler: newEngine[scheduler.TwoChoices]},
		{Name: "late binding, by arrival", Order: orderer.ByArrival{}, NewScheduler: newEngine[scheduler.LateBinding]},
		{Name: "late binding", Order: byWidth, NewScheduler: newEngine[scheduler.LateBinding]},
		{Name: "bounded queue", Order: byWidth, NewScheduler: withAdmission(admitter.ByQueue{MaxQueued: 1000})},
		{Name: "without shares", Order: byWidth, NewScheduler: withoutShares},
		{Name: "without leases", Order: byWidth, NewScheduler: withAdmission(admitter.ByFinish{})},
		{Name: "chosen", Order: byWidth, Leases: true, NewScheduler: withAdmission(admitter.ByFinish{})},
	}
}

// newEngine returns a scheduler with a placement policy and without admission control.
func newEngine[P any, T scheduler.Placement[P]](seed uint64, self specifier.Member, _ map[string]specifier.Team) player.Scheduler {
	return &scheduler.Engine[P, T]{Zone: self.Zone, Seed: seed, Admission: admitter.Always{}}
}

// withAdmission returns a constructor of schedulers with late binding and an admission policy.
func withAdmission(policy admitter.Policy) func(uint64, specifier.Member, map[string]specifier.Team) player.Scheduler {
	return func(seed uint64, self specifier.Member, teams map[string]specifier.Team) player.Scheduler {
		chosen := &scheduler.Scheduler{Zone: self.Zone, Seed: seed, Admission: policy}
		chosen.SetTeams(time.Time{}, teams)
		return chosen
	}
}

// withoutShares is the chosen scheduler without the shares of teams.
func withoutShares(seed uint64, self specifier.Member, _ map[string]specifier.Team) player.Scheduler {
	return withAdmission(admitter.ByFinish{})(seed, self, nil)
}
