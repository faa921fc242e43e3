// Package prefix computes hashes of the nested prefixes of a prompt. Each hash
// includes the client account, the model, the adapter and the weights version, so
// that equal text in different scopes has different hashes.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// bytesPerToken is the typical ratio for English text. Engines report exact counts.
const bytesPerToken = 4

// Scope holds the attributes that must be equal for two prompts to share cache
// entries.
type Scope struct {
	// Account is the account that alone uses the entries, empty for entries that accounts share.
	Account string
	// Group separates the entries of sets of accounts that share none; empty if there is one set.
	Group   string
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
	return append(b, s.Group...)
}

// Salt returns the cache salt of the scope for the engine, a hexadecimal SHA-256
// hash. It is collision resistant because it identifies stored content.
func (s Scope) Salt() string {
	sum := sha256.Sum256(s.bytes())
	return hex.EncodeToString(sum[:])
}

// Level is a prefix of a prompt that ends at a message boundary or, within a long
// message, at a piece boundary.
type Level struct {
	Hash uint64
	// Tokens is the estimated length from the start of the prompt.
	Tokens int64
}

const (
	// PieceTokens is the default length in tokens of the pieces into which a long
	// message is divided. Stores of offloaded KV cache use pieces of a similar
	// length.
	PieceTokens = 2000
	// MaxLevels bounds the levels of a prompt. With pieces of 2,000 tokens they
	// cover 128,000 tokens; the rest of the prompt is neither hashed nor looked up.
	MaxLevels = 64
	// minLevelTokens is the minimum distance between a level and the next level at a
	// message boundary, so that chats of many short messages don't exhaust
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

// Chain returns the levels of a prompt, shortest first and at most MaxLevels. Each
// hash covers the scope and the whole prompt up to the end of the level. The
// length of a segment is hashed after its content, so that messages with a common
// prefix share levels.
func Chain(s Scope, segments [][]byte) []Level { return ChainWithPieceTokens(s, segments, PieceTokens) }

// ChainWithPieceTokens is like Chain, but divides long messages into pieces of
// pieceTokens tokens.
func ChainWithPieceTokens(s Scope, segments [][]byte, pieceTokens int) []Level {
	c := chain{pieceBytes: pieceTokens * bytesPerToken, levels: make([]Level, 0, min(MaxLevels, len(segments)+4))}
	c.digest.Reset()
	_, _ = c.digest.Write(s.bytes())
	for i, seg := range segments {
		if !c.addSegment(seg, i == len(segments)-1) {
			break
		}
	}
	return c.levels
}

// chain accumulates the levels of a prompt.
type chain struct {
	digest     xxhash.Digest
	levels     []Level
	totalBytes int
	pieceBytes int
	// lastLevelEnd is the end of the last level as an offset in bytes.
	lastLevelEnd int
}

// addSegment adds the levels of one segment. It returns false when MaxLevels is
// reached.
func (c *chain) addSegment(seg []byte, last bool) bool {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(seg)))
	for len(seg) > c.pieceBytes {
		c.write(seg[:c.pieceBytes])
		seg = seg[c.pieceBytes:]
		if !c.addLevel() {
			return false
		}
	}
	c.write(seg)
	_, _ = c.digest.Write(size[:])
	if !last && c.totalBytes-c.lastLevelEnd < minLevelBytes {
		return true
	}
	return c.addLevel()
}

func (c *chain) write(b []byte) {
	_, _ = c.digest.Write(b)
	c.totalBytes += len(b)
}

// addLevel adds a level that ends at the current offset. It returns false when
// MaxLevels is reached.
func (c *chain) addLevel() bool {
	c.levels = append(c.levels, Level{Hash: c.digest.Sum64(), Tokens: int64(c.totalBytes / bytesPerToken)})
	c.lastLevelEnd = c.totalBytes
	return len(c.levels) < MaxLevels
}
