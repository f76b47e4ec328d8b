// Package processes holds the tests that need real processes on loopback.
package processes
