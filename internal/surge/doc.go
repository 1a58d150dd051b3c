// Package surge compares the overload protection of the full and the naive
// chain of plug-ins in a simulation: both get the same arrivals in virtual time.
package surge
