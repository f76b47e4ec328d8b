// Package eelgrasspoint holds the value types and interfaces that the packages
// of the load balancer share. It does no I/O.
package eelgrasspoint
