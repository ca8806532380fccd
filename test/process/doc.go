// Package process holds the end-to-end tests that run the program as separate
// processes on loopback. All of its code is in test files.
package process
