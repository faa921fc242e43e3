// Package prefix identifies the nested prefixes of a prompt. The identity
// includes the client account, the model, the adapter and the weights version,
// so that equal text in another scope never has an equal hash.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the usual ratio for English text; engines report exact counts.
const bytesPerToken = 4

// Scope is what must be equal for two prompts to share cache entries.
type Scope struct {
	Account string
	Model   string
	Adapter string
	Version string
}

func (s Scope) bytes() []byte {
	var b []byte
	for _, f := range []string{s.Account, s.Model, s.Adapter, s.Version} {
		b = binary.AppendUvarint(b, uint64(len(f)))
		b = append(b, f...)
	}
	return b
}

// Salt returns the scope's name for the engine's cache. It is collision
// resistant, because it names stored content.
func (s Scope) Salt() string {
	sum := sha256.Sum256(s.bytes())
	return hex.EncodeToString(sum[:])
}

// Level is a prefix that ends at a message boundary or at a piece boundary
// inside a long message.
type Level struct {
	Hash uint64
	// Tokens is the estimated length from the start of the prompt.
	Tokens int64
}

const (
	// PieceTokens is the length of the pieces of a long message. The stores of
	// saved KV cache use pieces of about the same length.
	PieceTokens = 2000
	// MaxLevels bounds the levels of a prompt. At 2,000 tokens a piece they
	// cover 128,000 tokens; what follows is neither hashed nor looked up.
	MaxLevels = 64
	// minLevelTokens is the least distance between a level and a message
	// boundary after it, so that chats of many short messages don't use up
	// MaxLevels. Recomputing 64 tokens costs about as much as a lookup.
	minLevelTokens = 64

	minLevelBytes = minLevelTokens * bytesPerToken
)

// Tokens returns the estimated length of a prompt in tokens.
func Tokens(segments [][]byte) int64 {
	n := 0
	for _, s := range segments {
		n += len(s)
	}
	return int64(n / bytesPerToken)
}

// Chain returns the levels of a prompt, shortest first and at most MaxLevels.
// Each hash covers the scope and the whole prompt up to the level's end. The
// length of a segment is hashed after its content, so that messages with equal
// beginnings share their pieces.
func Chain(s Scope, segments [][]byte) []Level { return ChainWithPieceTokens(s, segments, PieceTokens) }

// ChainOf is Chain with another length of the pieces of a long message.
func ChainWithPieceTokens(s Scope, segments [][]byte, pieceTokens int) []Level {
	c := chain{piece: pieceTokens * bytesPerToken, levels: make([]Level, 0, min(MaxLevels, len(segments)+4))}
	c.digest.Reset()
	_, _ = c.digest.Write(s.bytes())
	for i, seg := range segments {
		if !c.segment(seg, i == len(segments)-1) {
			break
		}
	}
	return c.levels
}

type chain struct {
	digest xxhash.Digest
	levels []Level
	total  int
	// piece is the length of a piece in bytes.
	piece int
	// end is the offset of the last level.
	end int
}

// segment adds the levels of one segment; false means that MaxLevels is reached.
func (c *chain) segment(seg []byte, last bool) bool {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(seg)))
	for len(seg) > c.piece {
		c.write(seg[:c.piece])
		seg = seg[c.piece:]
		if !c.level() {
			return false
		}
	}
	c.write(seg)
	_, _ = c.digest.Write(size[:])
	if !last && c.total-c.end < minLevelBytes {
		return true
	}
	return c.level()
}

func (c *chain) write(b []byte) {
	_, _ = c.digest.Write(b)
	c.total += len(b)
}

func (c *chain) level() bool {
	c.levels = append(c.levels, Level{Hash: c.digest.Sum64(), Tokens: int64(c.total / bytesPerToken)})
	c.end = c.total
	return len(c.levels) < MaxLevels
}
