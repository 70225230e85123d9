package main

import "github.com/google/subcommands"

// The exit codes. docs/operators.md lists them.
const (
	exitDone        subcommands.ExitStatus = 0
	exitFailed      subcommands.ExitStatus = 1 // the message says what to do
	exitUsage       subcommands.ExitStatus = 2
	exitConflict    subcommands.ExitStatus = 3 // another change came first
	exitRejected    subcommands.ExitStatus = 4 // the change breaks a rule
	exitUnreachable subcommands.ExitStatus = 5 // no leading controller answered; a change may be applied
	exitDeadline    subcommands.ExitStatus = 6 // the end was not reached in time
	exitDifferent   subcommands.ExitStatus = 7 // differences or problems were found
)
