package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestCase bounds a case.
const longestCase = 110 * time.Second

// scenarios are the cases by their names. Each returns the violations that it found.
var scenarios = map[string]func(ctx context.Context, p *play) ([]string, error){
	"forgotten-leave":  forgottenLeave,
	"unknown-leave":    unknownLeave,
	"unrecorded-leave": unrecordedLeave,
}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bench2 CASE DAEMON RECORD; TROUBLE=0 leaves the disruption out")
		os.Exit(exitNotRun)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

// run plays one case and returns the exit code.
func run(scenario func(context.Context, *play) ([]string, error), daemon, recordPath string) int {
	ctx, cancel := context.WithTimeout(context.Background(), longestCase)
	defer cancel()
	p, err := newPlay(daemon, recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench2:", err)
		return exitNotRun
	}
	violations, err := scenario(ctx, p)
	p.close()
	if err != nil {
		p.record.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "bench2:", err)
		return exitNotRun
	}
	for _, v := range violations {
		p.record.note("BROKEN %s", v)
	}
	p.record.note("%d violations", len(violations))
	fmt.Printf("%d violations\n", len(violations))
	if len(violations) > 0 {
		fmt.Println(violations[0])
		return exitBroken
	}
	return exitHeld
}
