// Package launcher runs one role as a program: it parses arguments, serves health and metrics, and shuts
// the program down gracefully.
package launcher
