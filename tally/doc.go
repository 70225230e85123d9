// Command tally is the command-line tool for operators. It shows the state of the system, drains members, changes profiles
// and teams, and prints the time line of a job. Each command has its own file, with its usage text at the top.
package main
