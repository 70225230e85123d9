// Command tally is the operators' command line. Each command is in a file of its own, with its
// usage text at the top.
package main
