// Command standin2 plays the cases of the second review: it starts gateways as processes, plays the
// platform, the engines and the callers around them, and checks one rule.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// cases maps the names of the cases to their functions, which return whether the rule was broken.
var cases = map[string]func(*record, bool) (bool, error){
	"lease":   playLease,
	"restart": playRestart,
	"drain":   playDrain,
	"wall":    playWall,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNoRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a case and returns its exit status.
func play(name, folder string, trouble bool) int {
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer r.close()
	r.add("case %s, trouble %v", name, trouble)
	broken, err := cases[name](r, trouble)
	switch {
	case err != nil:
		r.add("could not run: %v", err)
		return exitNoRun
	case broken:
		r.add("the rule was broken")
		return exitBroken
	}
	r.add("the rule held")
	return exitHeld
}

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush() // a full disk shows in the missing lines
	_ = r.file.Close()
}
