// Package process holds the tests that run the real binary as separate
// processes on loopback. All of it is in test files.
package process
