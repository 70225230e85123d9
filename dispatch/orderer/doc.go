// Package orderer decides the order in which tasks are started, at entries and at agents alike.
package orderer
