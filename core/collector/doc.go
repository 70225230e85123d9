// Package collector holds generic containers.
package collector
