// Command standin2 plays the cases of the second independent review. Each case starts the
// program under review as separate processes on loopback addresses, with a stand-in of the
// platform's store, engines and clients, and judges what these see.
//
// Usage: standin2 case7|case8 RECORD. It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 case7|case8 RECORD")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*scene) (broken bool, err error){"case6": runCase6, "case7": runCase7}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(runScene(os.Args[2], play))
}

// runScene plays a case and returns its exit code.
func runScene(recordPath string, play func(*scene) (bool, error)) int {
	s, err := newScene(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	defer s.close()
	s.closeOnSignal()
	broken, err := play(s)
	switch {
	case err != nil:
		s.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		s.record("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	s.record("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
