package main

import (
	"oleandertally/core/specifier"
	"oleandertally/dispatch/orderer"
	"oleandertally/dispatch/scheduler"
	"oleandertally/replay/player"
)

// variants returns the policies that are compared, plain baselines first.
func variants() []player.Variant {
	baseline := func(uint64, specifier.Member, map[string]specifier.Team) player.Scheduler {
		return &scheduler.Scheduler{}
	}
	return []player.Variant{
		{Name: "first, by arrival", Order: orderer.ByArrival{}, NewScheduler: baseline},
		{Name: "first", Order: orderer.ByWidth{Penalty: orderer.TaskPenalty}, NewScheduler: baseline},
	}
}
