package main

import "github.com/google/subcommands"

// The exit codes. docs/operators.md lists them.
const (
	exitDone        subcommands.ExitStatus = 0
	exitFailed      subcommands.ExitStatus = 1 // the message gives the next step
	exitUsage       subcommands.ExitStatus = 2
	exitConflict    subcommands.ExitStatus = 3 // another change came first
	exitRejected    subcommands.ExitStatus = 4 // the change is invalid
	exitUnreachable subcommands.ExitStatus = 5 // no controller answered as the leader; a change may have been applied
	exitDeadline    subcommands.ExitStatus = 6 // the members did not finish before the deadline
	exitDifferent   subcommands.ExitStatus = 7 // differences or problems were found
)
