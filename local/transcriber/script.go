package transcriber

import (
	"fmt"
	"strings"
	"time"

	"oleandertally/core/specifier"
	"oleandertally/entry/coordinator"
)

// Submit sends a job of a caller to entry i, from 0. The job has one task for each run time in runs.
func (s *Session) Submit(caller string, i int, key, profile string, timeLeft time.Duration, runs ...time.Duration) {
	e := s.entries[i]
	job := specifier.Job{Team: "web", Key: key, ID: specifier.NewJobID("web", key), Profile: profile, Deadline: s.now.Add(timeLeft)}
	for n, run := range runs {
		job.Tasks = append(job.Tasks, specifier.Task{ID: fmt.Sprintf("t%d", n+1), Payload: []byte(run.String())})
	}
	s.logf("%s: submits %s (%s, %d tasks, %v left) to %s", caller, key, profile, len(runs), timeLeft, e.id.Name)
	if !e.alive {
		s.logf("%s: connection to %s refused", caller, e.id.Name)
		return
	}
	s.repeatable[job.ID] = s.state.Configuration().Profiles[profile].Repeatable
	waiter := coordinator.Waiter(s.nextNumber())
	e.callers[waiter] = caller
	s.stepEntry(e, coordinator.Submitted{Waiter: waiter, Job: job})
}

// Cancel cancels a job through entry i.
func (s *Session) Cancel(caller string, i int, key string) {
	e := s.entries[i]
	s.logf("%s: cancels %s at %s", caller, key, e.id.Name)
	waiter := coordinator.Waiter(s.nextNumber())
	e.callers[waiter] = caller
	s.stepEntry(e, coordinator.CancelRequested{Waiter: waiter, Job: specifier.NewJobID("web", key)})
}

// Configure proposes an operator's change of the configuration.
func (s *Session) Configure(change specifier.ChangeConfiguration) {
	s.logf("%s: changes %s from revision %d, request %s", change.Operator, profileNames(change), change.From, change.RequestID)
	s.after(s.site.Commit, func() {
		d := s.apply(change)
		text := fmt.Sprintf("%s at revision %d", d.Verdict, d.Revision)
		if d.Operator != "" {
			text += ", won by " + d.Operator
		}
		if d.Detail != "" {
			text += ": " + d.Detail
		}
		s.logf("%s: request %s is %s", change.Operator, change.RequestID, text)
	})
}

// Drain sets or clears the drain state of a member.
func (s *Session) Drain(operator, name string, draining bool) {
	s.logf("%s: drain of %s is %v", operator, name, draining)
	s.after(s.site.Commit, func() { s.apply(specifier.DrainMember{Name: name, Draining: draining}) })
}

// RestartAgent kills the agent of worker i, from 0, and starts it as a new incarnation.
func (s *Session) RestartAgent(i int) {
	s.logf("%s restarts", s.agents[i].id.Name)
	s.killAgent(s.agents[i])
	s.startAgent(s.agents[i])
}

// RestartEntry kills entry i and starts it as a new incarnation.
func (s *Session) RestartEntry(i int) {
	s.logf("%s restarts", s.entries[i].id.Name)
	s.killEntry(s.entries[i])
	s.startEntry(s.entries[i])
}

// StopEntry begins a graceful shutdown of entry i, which then refuses new jobs.
func (s *Session) StopEntry(i int) {
	s.logf("%s begins its planned stop", s.entries[i].id.Name)
	s.stepEntry(s.entries[i], coordinator.DrainRequested{})
}

// KillEntry terminates entry i without notice.
func (s *Session) KillEntry(i int) {
	s.logf("%s dies", s.entries[i].id.Name)
	s.killEntry(s.entries[i])
}

// LoseZone terminates every process of an availability zone without notice.
func (s *Session) LoseZone(zone string) {
	s.logf("zone %s is lost", zone)
	for _, e := range s.entries {
		if e.zone == zone && e.alive {
			s.killEntry(e)
		}
	}
	for _, a := range s.agents {
		if a.zone == zone && a.alive {
			s.killAgent(a)
		}
	}
}

// IsRepeatable reports whether a lost task of a submitted job may start again.
func (s *Session) IsRepeatable(job specifier.JobID) bool { return s.repeatable[job] }

// Idle reports whether no live process has work.
func (s *Session) Idle() bool {
	for _, e := range s.entries {
		if e.alive && !e.machine.Idle() {
			return false
		}
	}
	for _, a := range s.agents {
		if a.alive && !a.machine.Idle() {
			return false
		}
	}
	return true
}

func profileNames(change specifier.ChangeConfiguration) string {
	var names []string
	for _, profile := range change.Profiles {
		names = append(names, profile.Name)
	}
	return strings.Join(names, ", ")
}
