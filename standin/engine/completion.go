package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// vocabulary holds the words that completions consist of. No word needs
// escaping in JSON.
var vocabulary = []string{
	"the ", "record ", "of ", "parish ", "register ", "shows ", "a ", "birth ",
	"in ", "county ", "and ", "restore ", "log ", "notes ", "copy ", "was ",
	"kept ", "for ", "clinic ", "until ", "policy ", "ends ", "with ", "its ",
	"summary ", "line ", "mother ", "father ", "entry ", "dated ", "year ", ". ",
}

// completion is the generated text for one request body.
type completion struct {
	seed        uint64
	totalTokens int
}

// newCompletion returns the completion of total tokens for a request body.
func newCompletion(seed uint64, body []byte, total int) completion {
	h := sha256.New()
	h.Write(binary.LittleEndian.AppendUint64(nil, seed))
	h.Write(body)
	return completion{seed: binary.LittleEndian.Uint64(h.Sum(nil)), totalTokens: total}
}

// token returns the token at an offset.
func (c completion) token(offset int) string {
	x := mix(c.seed + uint64(offset)*0x9e3779b97f4a7c15)
	return vocabulary[x%uint64(len(vocabulary))]
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// text returns the whole completion.
func (c completion) text() []byte {
	var text []byte
	for i := range c.totalTokens {
		text = append(text, c.token(i)...)
	}
	return text
}

// digest returns the length in bytes and the SHA-256 of the whole completion.
func (c completion) digest() (length int, sum string) {
	text := c.text()
	sha := sha256.Sum256(text)
	return len(text), hex.EncodeToString(sha[:])
}
