// Package proof holds the tests that run whole nodes against stated outcomes.
package proof
