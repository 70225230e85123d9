package main

// checkReport is the result of checking one file, as -json prints it.
type checkReport struct {
	File    string
	Problem string // empty when the file is correct
}
