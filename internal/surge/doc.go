// Package surge holds the differential test of the overload decisions: the
// real chains of plug-ins, full and naive, in virtual time, on one arrival
// sequence.
package surge
