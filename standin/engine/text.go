package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// vocabulary is what answers are made of. No word needs escaping in JSON.
var vocabulary = []string{
	"the ", "record ", "of ", "parish ", "register ", "shows ", "a ", "birth ",
	"in ", "county ", "and ", "restore ", "log ", "notes ", "copy ", "was ",
	"kept ", "for ", "clinic ", "until ", "policy ", "ends ", "with ", "its ",
	"summary ", "line ", "mother ", "father ", "entry ", "dated ", "year ", ". ",
}

// answer is the text to one request body.
type answer struct {
	key   uint64
	total int
}

// newAnswer returns the answer of total tokens to a body.
func newAnswer(seed uint64, body []byte, total int) answer {
	h := sha256.New()
	h.Write(binary.LittleEndian.AppendUint64(nil, seed))
	h.Write(body)
	return answer{key: binary.LittleEndian.Uint64(h.Sum(nil)), total: total}
}

// token returns the token at an offset.
func (a answer) token(offset int) string {
	x := mix(a.key + uint64(offset)*0x9e3779b97f4a7c15)
	return vocabulary[x%uint64(len(vocabulary))]
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// text returns the whole answer.
func (a answer) text() []byte {
	var text []byte
	for i := range a.total {
		text = append(text, a.token(i)...)
	}
	return text
}

// digest returns the length in bytes and the SHA-256 of the whole answer.
func (a answer) digest() (length int, sum string) {
	text := a.text()
	sha := sha256.Sum256(text)
	return len(text), hex.EncodeToString(sha[:])
}
