// Command standin plays a case of the review: it starts gateways as separate processes,
// acts as the platform's store, the endpoints and the callers around them, and checks a
// rule by what these have seen.
//
//	standin CASE FOLDER
//
// It writes what it saw to FOLDER/record.txt. With TROUBLE=0 in the environment it leaves
// the disruption out. The exit status is 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun bounds a case.
const longestRun = 110 * time.Second

// play is a case. It returns what broke the rule, "" if the rule held. The error says why
// the case could not run.
type play func(s *system) (broken string, err error)

var cases = map[string]play{
	"deadly-prompt":      deadlyPrompt,
	"stalled-rollout":    stalledRollout,
	"repeated-booking":   repeatedBooking,
	"unanswered-request": unansweredRequest,
	"endless-stream":     endlessStream,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(p play, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer file.Close()
	s, err := newSystem(file, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer s.stop()
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := p(s)
		done <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-signals:
		r.err = fmt.Errorf("interrupted")
	case <-time.After(longestRun):
		r.err = fmt.Errorf("not done after %v", longestRun)
	}
	switch {
	case r.err != nil:
		s.record("NOT RUN: %v", r.err)
		fmt.Println("not run:", r.err)
		return exitNotRun
	case r.broken != "":
		s.record("BROKEN: %s", r.broken)
		fmt.Println("broken:", r.broken)
		return exitBroken
	}
	s.record("HELD")
	fmt.Println("held")
	return exitHeld
}
