// Command harness-2 plays a case of the second review: it starts the programs of the system on loopback beside stand-ins for the
// workers, the clients, the operator and the platform, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment the
// disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit ends a case that takes too long.
const caseLimit = 110 * time.Second

// testCase plays a case on workers of one size.
type testCase struct {
	// play returns what broke the rule, or "" if the rule held.
	play func(s *site, trouble bool) (string, error)
	size workerSize
}

// cases by name. "gpu", "large", "pending" and "revived" have no folder; the report names them.
var cases = map[string]testCase{
	"poison":    {poisonCase, smallWorkers},
	"queue":     {queueCase, smallWorkers},
	"restarted": {restartedCase, smallWorkers},
	"large":     {largeCase, largeWorkers},
	"nested":    {nestedCase, smallWorkers},
	"gpu":       {gpuCase, smallWorkers},
	"pending":   {pendingCase, smallWorkers},
	"revived":   {revivedCase, smallWorkers},
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0"))
}

func play(name, recordPath string, trouble bool) int {
	s, err := newSite(recordPath, cases[name].size)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	s.note("case %s, trouble %v", name, trouble)
	type outcome struct {
		broken string
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := cases[name].play(s, trouble)
		done <- outcome{broken, err}
	}()
	var got outcome
	select {
	case got = <-done:
	case <-time.After(caseLimit):
		got.err = fmt.Errorf("the case takes longer than %v", caseLimit)
	}
	switch {
	case got.err != nil:
		s.note("NOT RUN: %v", got.err)
		fmt.Fprintln(os.Stderr, "not run:", got.err)
		return exitNotRun
	case got.broken != "":
		s.note("BROKEN: %s", got.broken)
		fmt.Println("broken:", got.broken)
		return exitBroken
	}
	s.note("HELD")
	fmt.Println("held")
	return exitHeld
}
