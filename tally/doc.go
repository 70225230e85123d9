// Command tally is the command-line tool for operators. Each command has its own file, with its usage text at the top.
package main
