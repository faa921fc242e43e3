// Package testcpu measures the processor time of a test, which doesn't depend on what else the
// host runs.
package testcpu

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Used returns the processor time that the test's process has used.
func Used(t *testing.T) time.Duration {
	t.Helper()
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		t.Error(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
