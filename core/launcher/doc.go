// Package launcher runs one role as a program: it serves its health and metrics and stops it in order.
package launcher
