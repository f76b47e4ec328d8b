// Package eelgrasspoint defines the types, interfaces and constants that the packages of the load
// balancer share. It does no I/O.
package eelgrasspoint
