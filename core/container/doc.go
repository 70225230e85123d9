// Package container holds generic containers.
package container
