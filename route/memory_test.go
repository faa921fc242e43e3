package route

import (
	"testing"

	"github.com/matryer/is"

	"github.com/citrontiller/citrontiller/prefix"
)

// Guards against engines with free slots whose memory long prompts have filled:
// requests wait there until some have ended. Prefixes in use by others are free.
func TestMemoryFillsBeforeSlots(t *testing.T) {
	is := is.New(t)
	var m memory
	shared := []prefix.Level{{Hash: 1, Tokens: 500}, {Hash: 2, Tokens: 4000}}
	for i := range 3 {
		m.take(workKey{seq: uint64(i)}, shared, 10_000, at(i))
	}
	is.Equal(m.tokens, 4000.0+3*6000)
	is.Equal(m.wait(nil, 10_000, 100_000), 0.0)
	is.True(m.wait(nil, 10_000, 25_000) > 0)
	is.True(m.wait(shared, 10_000, 25_000) < m.wait(nil, 10_000, 25_000))
	m.release(workKey{seq: 0}, at(1000))
	m.release(workKey{seq: 0}, at(1000))
	is.Equal(m.tokens, 4000.0+2*6000)
	m.release(workKey{seq: 1}, at(1000))
	m.release(workKey{seq: 2}, at(1000))
	is.Equal(m.tokens, 0.0)
	is.Equal(len(m.shared), 0)
}

// Guards against memory that stays taken by requests of a process that died.
func TestMemoryOfLostProcess(t *testing.T) {
	is := is.New(t)
	var m memory
	m.take(workKey{sender: "a", seq: 1}, nil, 10, at(0))
	m.take(workKey{sender: "b", seq: 1}, nil, 20, at(0))
	m.forget("a", at(5))
	is.Equal(m.tokens, 20.0)
	m.take(workKey{seq: 2}, nil, 1, at(0).Add(2*maxHold))
	is.Equal(m.tokens, 1.0)
}
