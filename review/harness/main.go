// Command harness runs a case of the review: it starts the programs of the system on loopback beside stand-ins for
// workers, clients and the operator, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment
// the disruption is left out.
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

// verdict is the result of a case: what broke the rule, or "" if the rule held.
type verdict string

// cases by name. The folders 1 to 5 have those of the first group; the others are named in the report only.
var cases = map[string]func(s *site, trouble bool) (verdict, error){
	"again":   againCase,
	"blocked": blockedCase,
	"cancel":  cancelCase,
	"ends":    endsCase,
	"refused": refusedCase,

	"burst":     burstCase,
	"clock":     clockCase,
	"failed":    failedCase,
	"large":     largeCase,
	"oddpath":   oddPathCase,
	"oddreport": oddReportCase,
	"renamed":   renamedCase,
	"stalled":   stalledCase,
	"zero":      zeroCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitNotRun)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], root, filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0"))
}

func play(name, root, record string, trouble bool) int {
	s, err := newSite(root, record)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "the site does not start:", err)
		return exitNotRun
	}
	type result struct {
		broken verdict
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[name](s, trouble)
		done <- result{broken, err}
	}()
	var got result
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
