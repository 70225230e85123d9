// Package locator finds the leading controller and keeps one stream open to it.
package locator
