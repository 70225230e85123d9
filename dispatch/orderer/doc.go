// Package orderer decides the order in which entries and agents start tasks.
package orderer
