// Package proof has the tests that run clusters of complete nodes and check the outcomes of requests.
package proof
