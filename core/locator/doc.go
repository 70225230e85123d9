// Package locator keeps one stream open to the controller that leads.
package locator
