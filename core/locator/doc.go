// Package locator finds the leading controller and keeps one stream open to it. The process supplies the functions that open
// the stream and handle its messages.
package locator
