package route

import (
	"testing"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/prefix"
)

// Guards against choosing engines that have free slots but whose KV cache memory is
// filled by long prompts: requests wait there until others have ended. A prefix that
// running requests already occupy needs no additional memory.
func TestKVCapacityIsReachedBeforeSlots(t *testing.T) {
	is := is.New(t)
	var m kvUsage
	shared := []prefix.Level{{Hash: 1, Tokens: 500}, {Hash: 2, Tokens: 4000}}
	for i := range 3 {
		m.add(dispatchKey{seq: uint64(i)}, shared, 10_000, at(i))
	}
	is.Equal(m.tokens, 4000.0+3*6000)
	is.Equal(m.wait(nil, 10_000, 100_000), 0.0)
	is.True(m.wait(nil, 10_000, 25_000) > 0)
	is.True(m.wait(shared, 10_000, 25_000) < m.wait(nil, 10_000, 25_000))
	m.release(dispatchKey{seq: 0}, at(1000))
	m.release(dispatchKey{seq: 0}, at(1000))
	is.Equal(m.tokens, 4000.0+2*6000)
	m.release(dispatchKey{seq: 1}, at(1000))
	m.release(dispatchKey{seq: 2}, at(1000))
	is.Equal(m.tokens, 0.0)
	is.Equal(len(m.shared), 0)
}

// Guards against memory that remains occupied by requests of a failed process.
func TestKVUsageOfLostProcess(t *testing.T) {
	is := is.New(t)
	var m kvUsage
	m.add(dispatchKey{sender: "a", seq: 1}, nil, 10, at(0))
	m.add(dispatchKey{sender: "b", seq: 1}, nil, 20, at(0))
	m.releaseSender("a", at(5))
	is.Equal(m.tokens, 20.0)
	m.add(dispatchKey{seq: 2}, nil, 1, at(0).Add(2*maxRunTime))
	is.Equal(m.tokens, 1.0)
}
