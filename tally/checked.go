package main

// checked is what check found in one file.
type checked struct {
	File    string
	Problem string // empty when the file is correct
}
