// Command standin plays the cases of the review that are scripts. It starts the system's own
// program as separate processes on loopback addresses, with stand-ins of the platform's store, the
// engines and the clients, and checks one rule by what the clients and the engines see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotToRun = 2
)

// cases are the cases by their names. Each returns how often the rule was broken.
var cases = map[string]func(*fleet) (broken int, err error){
	"extra-answer":  playExtraAnswer,
	"killed-engine": playKilledEngine,
	"killed-fleet":  playKilledFleet,
}

// engines are the stand-ins of engines by their names. Each runs until its process is killed.
var engines = map[string]func(args []string) error{
	"engine":        runEngine,
	"stream-engine": runStreamEngine,
}

func main() {
	if len(os.Args) > 1 && engines[os.Args[1]] != nil {
		fmt.Fprintln(os.Stderr, engines[os.Args[1]](os.Args[2:]))
		os.Exit(exitNotToRun)
	}
	os.Exit(run())
}

// run plays the case that the arguments name and returns the exit status.
func run() int {
	const argumentCount = 3 // Program, case, file for the record.
	if len(os.Args) != argumentCount || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE")
		return exitNotToRun
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotToRun
	}
	defer f.close()
	f.closeOnSignal()
	f.record("case %s, with the disruption: %t", os.Args[1], hasTrouble())
	broken, err := cases[os.Args[1]](f)
	switch {
	case err != nil:
		f.record("the case could not run: %v", err)
		return exitNotToRun
	case broken > 0:
		f.record("the rule was broken %d times", broken)
		return exitBroken
	}
	f.record("the rule held")
	return exitHeld
}
