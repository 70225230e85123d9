// Command standins plays one case of a review: it starts the project's programs with stand-ins for workers, clients and the operator,
// brings about one disruption, and checks one rule by what the stand-ins have seen.
//
//	standins -case N -record FILE [-trouble=false] [-trace] [-keep]
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	number := flag.Int("case", 0, "`number` of the case, or of another finding")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "bring about the disruption")
	trace := flag.Bool("trace", false, "print the record too")
	keep := flag.Bool("keep", false, "keep the logs of the processes")
	flag.Parse()
	os.Exit(play(*number, *path, *trouble, *trace, *keep))
}

func play(number int, path string, trouble, trace, keep bool) int {
	run := cases[number]
	if run == nil {
		run = others[number]
	}
	r, err := newRecord(path)
	if run == nil || err != nil {
		fmt.Println("no such case, or no record:", number, err)
		return exitNotRun
	}
	r.tracing = trace
	s, err := newSite(r)
	if s == nil {
		fmt.Println(err)
		return exitNotRun
	}
	var once sync.Once
	closeSite := func() { once.Do(func() { s.close(keep) }) }
	defer closeSite()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(timeLimit):
		}
		r.note("the case is cut short")
		closeSite()
		os.Exit(exitNotRun)
	}()
	if err == nil {
		err = run(&scene{site: s, client: &client{entries: s.entries, record: r, watch: s.watch}, trouble: trouble})
	}
	if err != nil {
		r.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	}
	if r.isBroken() {
		r.note("the rule was broken")
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}
