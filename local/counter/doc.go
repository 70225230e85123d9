// Package counter counts the messages between the processes of a site.
package counter
