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

// Level is a prefix that ends at a message boundary.
type Level struct {
	Hash uint64
	// Tokens is the estimated length from the start of the prompt.
	Tokens int64
}

// Chain returns one level per segment of the prompt. Each hash covers the
// scope and all segments up to its own.
func Chain(s Scope, segments [][]byte) []Level {
	h := xxhash.New()
	_, _ = h.Write(s.bytes())
	levels := make([]Level, 0, len(segments))
	total := 0
	var size [8]byte
	for _, seg := range segments {
		binary.LittleEndian.PutUint64(size[:], uint64(len(seg)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(seg)
		total += len(seg)
		levels = append(levels, Level{Hash: h.Sum64(), Tokens: int64(total / bytesPerToken)})
	}
	return levels
}
