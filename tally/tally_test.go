package main

import (
	"encoding/json"
	"flag"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"oleandertally/core/operator"
	"oleandertally/core/recorder"
	"oleandertally/core/specifier"
)

const holdsFile = `Profiles:
  - Name: holds
    Service: reservas
    MaxTimeLeft: 3s
  - Name: quotes
    Service: cotizador
    Repeatable: true
RemoveTeams: [ventas]
`

var usageFlag = regexp.MustCompile(`(?m)^  -([a-z]+) `)

// Guards against a flag that the usage text does not describe, and against a described flag that does not exist.
func TestUsageNamesEveryFlag(t *testing.T) {
	env := newEnvironment()
	for _, c := range append(commands(env), profileCommands(env)...) {
		t.Run(c.Name(), func(t *testing.T) {
			flags := flag.NewFlagSet("", flag.ContinueOnError)
			c.SetFlags(flags)
			want := make(map[string]bool)
			flags.VisitAll(func(f *flag.Flag) { want[f.Name] = true })
			got := make(map[string]bool)
			for _, match := range usageFlag.FindAllStringSubmatch(c.Usage(), -1) {
				got[match[1]] = true
			}
			must.Eq(t, want, got)
			must.StrContains(t, c.Usage(), "\nExamples:\n  tally ")
			must.NotEq(t, "", c.Synopsis())
		})
	}
}

// Guards against a usage error that returns another exit code, because scripts depend on the codes.
func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{{}, {"nosuch"}, {"status", "-nosuch"}, {"status", "x"}, {"drain"}, {"drain", "-zone", "z", "worker-1"},
		{"profiles"}, {"profiles", "apply"}, {"profiles", "compare"}, {"profiles", "revert"}, {"check"}, {"check", "-kind", "x", "f"},
		{"timeline", "-team", "t"}, {"timeline", "-job", "xyz"}, {"timeline", "-from", "today"}, {"stop", "-deadline", "0s", "worker-1"},
		{"status", "-controllers", "localhost:1"}, {"status", "-controllers", ""}, {"drain", "-operator", "", "worker-1"}} {
		t.Run(strings.Join(args, " "), func(t *testing.T) { newFake(t).assertTally(exitUsage, args) })
	}
}

// Guards against tables that lack a member or a count.
func TestStatus(t *testing.T) {
	t.Run("tables", func(t *testing.T) {
		f := newFake(t)
		f.assertTally(exitDone, arguments("status"))
		must.Eq(t, `Revision 1 by eva

CONTROLLER    ADDRESS      ZONE     ROLE    TERM  COMMIT  APPLIED  SYNCED  HEARD
controller-1  127.0.0.1:2  heredia  leader  4     90      90       91      -

ZONE     UP  DRAINING  DOWN  SLOTS  RUNNING  QUEUED
cartago  1   0         0     8      -        -
heredia  2   0         1     8      3        1

MEMBER    ROLE   ZONE     RACK  SERVICE   STATE  SLOTS  RUNNING  QUEUED  ADDRESS
entry-1   Entry  heredia  -     reservas  Up     0      -        -       127.0.0.1:1
worker-1  Agent  heredia  -     reservas  Up     8      3        1       127.0.0.1:1
worker-2  Agent  heredia  -     reservas  Down   8      -        -       127.0.0.1:1
worker-3  Agent  cartago  -     reservas  Up     8      -        -       127.0.0.1:1

TEAM    SHARE
ventas  2
`, f.out.String())
	})
	t.Run("json", func(t *testing.T) {
		f := newFake(t)
		f.assertTally(exitDone, arguments("status", "-json", "-zone", "cartago"))
		var state operator.State
		must.NoError(t, json.Unmarshal(f.out.Bytes(), &state))
		must.Len(t, 1, state.Members)
	})
	t.Run("unknown zone", func(t *testing.T) { newFake(t).assertTally(exitFailed, arguments("status", "-zone", "x"), "next: ") })
	t.Run("no controller", func(t *testing.T) {
		newFake(t).assertTally(exitUnreachable, arguments("status", "-controllers", "127.0.0.1:1"), "next: ", "refused")
	})
}

// Guards against a change that is applied twice, is lost without an error, or overwrites another change.
func TestApply(t *testing.T) {
	apply := arguments("profiles", "apply", "holds.yaml")
	withFile := func(t *testing.T) *fake {
		f := newFake(t)
		f.files["holds.yaml"] = holdsFile
		return f
	}
	t.Run("applied", func(t *testing.T) {
		f := withFile(t)
		f.assertTally(exitDone, apply, "request id-1 from revision 1", "revision 2 is in force")
		must.Eq(t, specifier.Command(specifier.ChangeConfiguration{RequestID: "id-1", Operator: "ana", From: 1,
			Profiles: []specifier.Profile{{Name: "holds", Service: "reservas", MaxTimeLeft: 3 * time.Second},
				{Name: "quotes", Service: "cotizador", Repeatable: true}}, RemoveTeams: []string{"ventas"}}), f.commands[0])
	})
	t.Run("a conflict names the change that came first", func(t *testing.T) {
		f := withFile(t)
		f.assertTally(exitDone, apply)
		f.assertTally(exitConflict, arguments("profiles", "apply", "-from", "1", "-request", "id-2", "-operator", "eva", "holds.yaml"), "revision 2 by ana is in force", "next: ")
	})
	t.Run("a change is sent again after a lost answer", func(t *testing.T) {
		f := withFile(t)
		f.lost = 1
		f.assertTally(exitDone, apply, "revision 2 is in force")
		must.Len(t, 2, f.commands)
		must.Eq(t, specifier.Revision(2), f.state.Configuration.Revision)
	})
	t.Run("a request that the operator repeats gets the first decision", func(t *testing.T) {
		f := withFile(t)
		f.lost = maxRounds
		f.assertTally(exitUnreachable, apply, "-request id-1")
		f.assertTally(exitDone, arguments("profiles", "apply", "-request", "id-1", "holds.yaml"), "revision 2 is in force")
		must.Eq(t, specifier.Revision(2), f.state.Configuration.Revision)
	})
	t.Run("json", func(t *testing.T) {
		f := withFile(t)
		f.assertTally(exitDone, arguments("profiles", "apply", "-json", "holds.yaml"))
		var got change
		must.NoError(t, json.Unmarshal(f.out.Bytes(), &got))
		must.Eq(t, change{Request: "id-1", From: 1, Verdict: specifier.Applied, Revision: 2}, got)
	})
}

// Guards against a change that is sent although its file is invalid, and against an error that names no field.
func TestFilesAreChecked(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"unknown field": {"Profiles:\n  - Name: a\n    Service: b\n    Prioritty: 1\n", "Prioritty"},
		"wrong values":  {"Profiles:\n  - Name: a\n    Service: b\n    Priority: 10\n  - Name: c\n", "Profiles[0].Priority"},
		"repeats":       {"Teams:\n  - Name: a\n    Share: 1\nRemoveTeams: [a]\n", `RemoveTeams[0]: "a" is already named by Teams[0]`},
		"empty":         {"Profiles: []\n", "Profiles: missing, expected at least one profile or team"},
		"too long":      {strings.Repeat("#", maxFileBytes+1), "longer than 1MiB"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFake(t)
			f.files["x.yaml"] = c.text
			f.assertTally(exitRejected, arguments("profiles", "apply", "x.yaml"), c.want)
			must.SliceEmpty(t, f.commands)
		})
	}
	t.Run("check", func(t *testing.T) {
		f := newFake(t)
		f.files["good.yaml"], f.files["bad.yaml"] = holdsFile, "Teams: 7\n"
		f.assertTally(exitDone, arguments("check", "good.yaml"), "good.yaml: correct")
		f.assertTally(exitDifferent, arguments("check", "-json", "good.yaml", "bad.yaml", "absent.yaml"), "2 of 3 files", `"Problem": "no such file"`)
	})
}

// Guards against differences that are not shown, and against a revert that does not restore all of them.
func TestCompareAndRevert(t *testing.T) {
	f := newFake(t)
	f.files["holds.yaml"] = holdsFile
	f.assertTally(exitDifferent, arguments("profiles", "compare", "holds.yaml"))
	must.Eq(t, `ITEM            FIELD        REVISION 1  WOULD BE
profile holds   MaxTimeLeft  2s          3s
profile quotes  -            absent      added
team ventas     -            present     removed
`, f.out.String())
	f.assertTally(exitDone, arguments("profiles", "apply", "holds.yaml"))
	f.assertTally(exitDone, arguments("profiles", "compare", "holds.yaml"), "no differences from revision 2")
	f.assertTally(exitDifferent, arguments("profiles", "compare", "-revision", "1"), "team ventas")
	f.assertTally(exitDone, arguments("profiles", "revert", "-request", "id-9", "-to", "1"), "revision 3 is in force")
	must.Eq(t, sampleState().Configuration.Profiles, f.state.Configuration.Profiles)
	must.Eq(t, sampleState().Configuration.Teams, f.state.Configuration.Teams)
	f.assertTally(exitDone, arguments("profiles", "revert", "-to", "1"), "revision 3 is already like revision 1")
	f.assertTally(exitDone, arguments("profiles", "revert", "-request", "id-9", "-to", "1"), "revision 3 is in force")
	must.Eq(t, specifier.Revision(3), f.state.Configuration.Revision)
	f.assertTally(exitFailed, arguments("profiles", "revert", "-to", "77"), "not held", "next: ")
}

// Guards against a file printed by show that apply reads differently.
func TestShowPrintsWhatApplyReads(t *testing.T) {
	f := newFake(t)
	f.assertTally(exitDone, arguments("profiles", "show"), "# revision 1")
	f.files["saved.yaml"] = f.out.String()
	f.assertTally(exitDone, arguments("profiles", "compare", "saved.yaml"), "no differences")
	f.assertTally(exitDone, arguments("profiles", "list"), "holds    reservas  false")
	f.assertTally(exitFailed, arguments("profiles", "show", "x"), "no profile is named")
}

// Guards against members that are omitted, or drained although they were not selected.
func TestDrainAndResume(t *testing.T) {
	f := newFake(t)
	f.assertTally(exitDone, arguments("drain", "-zone", "heredia"), "request id-1 for 2 members")
	must.Eq(t, []specifier.Command{specifier.DrainMember{Name: "entry-1", Draining: true}, specifier.DrainMember{Name: "worker-1", Draining: true}}, f.commands)
	f.assertTally(exitDone, arguments("resume", "worker-1"), "worker-1  Applied")
	must.Eq(t, specifier.Up, f.state.Members[1].State)
	f.assertTally(exitRejected, arguments("drain", "worker-1", "worker-3"), "worker-1  Applied", "worker-3  Rejected", "refused for worker-3")
	f.assertTally(exitFailed, arguments("drain", "nosuch"), "no member is named")
}

// Guards against a drained zone in which the queues start tasks on, and against an operator who does not see that a zone is evacuated.
func TestEvacuatedZone(t *testing.T) {
	mustBe := func(t *testing.T, f *fake, evacuated bool, shown string) {
		t.Helper()
		zone, known := f.state.QueueZone("heredia")
		must.True(t, known)
		must.Eq(t, evacuated, zone.Evacuated)
		f.assertTally(exitDone, arguments("status"), shown)
	}
	f := newFake(t)
	f.assertTally(exitDone, arguments("drain", "-zone", "heredia"), "zone heredia  Applied", "worker-1")
	mustBe(t, f, true, "no, evacuated")
	f.assertTally(exitDone, arguments("resume", "-zone", "heredia"), "the queues start tasks there")
	mustBe(t, f, false, "yes")
	t.Run("a zone without members", func(t *testing.T) {
		f := newFake(t)
		f.state.QueueZones = []operator.QueueZone{{Name: "limon", Workers: 1}}
		f.assertTally(exitDone, arguments("drain", "-zone", "limon"), "zone limon  Applied")
		f.assertTally(exitFailed, arguments("drain", "-zone", "nosuch"), "no worker of the queues is in zone")
	})
}

// Guards against a stop that reports success while tasks run, or that never returns.
func TestStop(t *testing.T) {
	setLoad := func(f *fake, running int) {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.state.Loads = []operator.MemberLoad{{Identity: specifier.Identity{Name: "worker-1", Incarnation: 1}, Load: specifier.Load{Running: running}}}
	}
	t.Run("waits for the tasks", func(t *testing.T) {
		f := newFake(t)
		running := 3
		f.onPause = func() { running--; setLoad(f, running) }
		f.assertTally(exitDone, arguments("stop", "worker-1"), "0 of 1 members have ended, 3 tasks run, 1 wait",
			"0 of 1 members have ended, 1 tasks run", "1 members have ended")
		must.Eq(t, baseTime.Add(3*time.Second), f.now)
	})
	t.Run("waits for a member of unknown load until it is down", func(t *testing.T) {
		f := newFake(t)
		f.onPause = func() { f.mutex.Lock(); f.setState("entry-1", specifier.Down); f.mutex.Unlock() }
		f.assertTally(exitDone, arguments("stop", "-json", "entry-1"), `"Ended": 1`)
		must.Eq(t, baseTime.Add(time.Second), f.now)
	})
	t.Run("returns at the deadline", func(t *testing.T) {
		f := newFake(t)
		f.assertTally(exitDeadline, arguments("stop", "-deadline", "10s", "worker-1"), "worker-1", "next: ")
		must.Eq(t, baseTime.Add(10*time.Second), f.now)
		must.Eq(t, specifier.Draining, f.state.Members[1].State)
	})
}

// Guards against a time line that does not show why a job was refused, or that hides that events are missing.
func TestTimeline(t *testing.T) {
	hold := specifier.NewJobID("reservas", "hold-1")
	withEvents := func(t *testing.T) *fake {
		f := newFake(t)
		f.buffer.Add(recorder.Event{Kind: recorder.JobSubmitted, Job: specifier.NewJobID("reservas", "hold-2")})
		f.buffer.Add(recorder.Event{Kind: recorder.JobSubmitted, Job: hold})
		f.buffer.Add(recorder.Event{Kind: recorder.JobAnswered, Job: hold, Detail: "NotRun Overloaded: needs 2s, has 1s"})
		return f
	}
	job := arguments("timeline", "-team", "reservas", "-key", "hold-1")
	t.Run("text", func(t *testing.T) {
		withEvents(t).assertTally(exitDone, job, "Refused because", "Overloaded: needs 2s, has 1s", "waiting at the entry",
			"127.0.0.1:1 does not answer, its events are missing")
	})
	t.Run("html", func(t *testing.T) {
		f := withEvents(t)
		f.assertTally(exitDone, append(job, "-html", "out.html"), "2 events of 1 processes are in out.html")
		must.StrContains(t, f.files["out.html"], "<svg")
	})
	t.Run("json", func(t *testing.T) {
		f := withEvents(t)
		f.assertTally(exitDone, arguments("timeline", "-json", "-job", hold.String()))
		var report timelineReport
		must.NoError(t, json.Unmarshal(f.out.Bytes(), &report))
		must.Eq(t, "Overloaded: needs 2s, has 1s", report.Refused)
		must.Len(t, 2, report.Events)
	})
	t.Run("span", func(t *testing.T) {
		f := withEvents(t)
		f.assertTally(exitDone, arguments("timeline", "-from", "2026-05-04T10:00:00Z"))
		must.StrNotContains(t, f.out.String(), "JobSubmitted")
	})
	t.Run("no process answers", func(t *testing.T) {
		newFake(t).assertTally(exitUnreachable, append(job, "-controllers", "127.0.0.1:1"), "none of 1 processes answered")
	})
}
