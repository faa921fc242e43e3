package prefix

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against long messages with a common prefix that share no level.
func TestLongMessagesSharePieces(t *testing.T) {
	is := is.New(t)
	const pieceBytes = PieceTokens * bytesPerToken
	shared := bytes.Repeat([]byte("a"), 2*pieceBytes)
	a := Chain(Scope{Account: "x"}, [][]byte{append(bytes.Clone(shared), "one"...)})
	b := Chain(Scope{Account: "x"}, [][]byte{append(bytes.Clone(shared), "other"...)})
	is.Equal(a[:2], b[:2])
	is.True(a[2].Hash != b[2].Hash)
	is.Equal(a[1].Tokens, int64(2*PieceTokens))
	is.Equal(len(ChainWithPieceTokens(Scope{}, [][]byte{shared}, PieceTokens/2)), 4)
}

// Guards against equal text in different scopes sharing a level (invariant I1).
func TestScopesShareNoLevel(t *testing.T) {
	is := is.New(t)
	text := [][]byte{bytes.Repeat([]byte("a"), 400), []byte("b")}
	seen := map[uint64]bool{}
	scopes := []Scope{{}, {Account: "a"}, {Model: "a"}, {Adapter: "a"}, {Version: "a"}, {Account: "a", Model: "b"}, {Account: "ab"}}
	for _, s := range scopes {
		for _, l := range Chain(s, text) {
			is.True(!seen[l.Hash])
			seen[l.Hash] = true
		}
	}
}

// Guards against a number of levels that grows without bound with the length of
// the prompt or its number of messages.
func TestLevelsAreBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Chain(Scope{}, [][]byte{make([]byte, 4<<20)})), MaxLevels)
	short := make([][]byte, 1000)
	for i := range short {
		short[i] = []byte("hello")
	}
	is.True(len(Chain(Scope{}, short)) < MaxLevels)
}

func BenchmarkChain(b *testing.B) {
	for _, size := range []int{16 << 10, 512 << 10, 4 << 20} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			seg := [][]byte{make([]byte, size)}
			b.ReportAllocs()
			for b.Loop() {
				Chain(Scope{Account: "a", Model: "m"}, seg)
			}
		})
	}
}
