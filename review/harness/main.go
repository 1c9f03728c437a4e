package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays one case in a fleet and returns the breaches of its rule.
type scenario func(f *fleet) ([]string, error)

// scenarios holds the cases by name.
var scenarios = map[string]scenario{
	"silent-store":   silentStore,
	"lone-homes":     loneHomes,
	"forgotten-ack":  forgottenAck,
	"stray-refusal":  strayRefusal,
	"double-slash":   doubleSlash,
	"backward-start": backwardStart,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness SCENARIO RECORD-FILE")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays a scenario, writes its record and returns the exit code.
func run(name, recordPath string) int {
	play, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)
		return exitNotRun
	}
	binary, err := filepath.Abs("target/buckthornlatch")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(binary, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	breaches, err := play(f)
	f.close()
	if err != nil {
		f.record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, b := range breaches[:min(len(breaches), maxPrinted)] {
		fmt.Println(b)
	}
	f.record.note("%d breaches of the rule", len(breaches))
	fmt.Println(len(breaches), "breaches of the rule")
	if len(breaches) > 0 {
		return exitBroken
	}
	return exitHeld
}

// maxPrinted bounds the breaches that are printed.
const maxPrinted = 5
