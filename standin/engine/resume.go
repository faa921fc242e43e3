package engine

import "strings"

// tokenBytes is the length of a generated token in bytes.
const tokenBytes = 5

// splitContinuation splits a text prompt that ends with the start of its own
// output into the original prompt and the number of output tokens.
func splitContinuation(version, prompt string) (seed string, offset int) {
	n := 0
	for rest := prompt; len(rest) >= tokenBytes && isToken(rest[len(rest)-tokenBytes:]); n++ {
		rest = rest[:len(rest)-tokenBytes]
	}
	for ; n > 0; n-- {
		seed := prompt[:len(prompt)-n*tokenBytes]
		if strings.HasSuffix(prompt, OutputForVersion(version, seed, n)) {
			return seed, n
		}
	}
	return prompt, 0
}

// isToken reports whether s, of tokenBytes bytes, has the form of a token.
func isToken(s string) bool {
	return s[0] == 'w' && s[tokenBytes-1] == ' ' && strings.Trim(s[1:tokenBytes-1], "0123456789abcdef") == ""
}
