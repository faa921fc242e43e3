// Command standin3 runs the cases of the third review. Each starts gateways as processes, with
// stand-ins of callers, engines and the platform's store in this one, and checks a rule by what
// these see. It runs in the repository's root.
//
//	standin3 CASE RECORD
//
// The exit status is 0 if the rule held, 1 if it was broken, 2 if the case could not run. With
// TROUBLE=0 in the environment there is no disruption.
package main

import (
	"fmt"
	"os"
)

// cases maps the name of a case to its function, which reports whether the rule held.
var cases = map[string]func(r *record, trouble bool) (held bool, err error){
	"models":  runModels,
	"crashes": runCrashes,
	"foreign": runForeign,
	"large":   runLarge,
	"slow":    runSlowRead,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	held, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("not run: %v", err)
		os.Exit(2)
	case !held:
		r.add("the rule was broken")
		os.Exit(1)
	}
	r.add("the rule held")
}
