package modelserver

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Words in an input that make any endpoint fail on it, or refuse it as invalid.
const (
	Poison     = "poison"
	Unreadable = "unreadable"
)

// FNV-1a, 32 bits.
const (
	fnvOffset = 2166136261
	fnvPrime  = 16777619
)

const lengthSeed = 97 // of the hash that gives an answer's length

// hashText continues a hash with a text.
func hashText(hash uint32, text string) uint32 {
	for i := range len(text) {
		hash = (hash ^ uint32(text[i])) * fnvPrime
	}
	return hash
}

// TokenText returns the token at an index that any endpoint decodes for a client's request, so that a client can check
// each byte. Some tokens are not ASCII.
func TokenText(clientID string, index int) string {
	hash := (hashText(fnvOffset, clientID) ^ uint32(index)) * fnvPrime
	if hash%13 == 0 {
		return " é" + strconv.FormatUint(uint64(hash%997), 36)
	}
	return " " + strconv.FormatUint(uint64(hash%99991), 36)
}

// AnswerLength returns how many tokens the answer to a client's request has.
func AnswerLength(clientID string, maxTokens int) int {
	return 1 + int(hashText(lengthSeed, clientID)>>8)%max(maxTokens, 1)
}

// Vector returns the embedding that any endpoint gives for an input, as JSON, so that its place and identity can be
// checked from end to end.
func Vector(rawInput string, dimensions int) []byte {
	vector := make([]byte, 0, 4*dimensions)
	hash := xxhash.Sum64String(rawInput)
	for range dimensions {
		hash ^= hash >> 33
		hash *= 0xff51afd7ed558ccd
		element := float32(int32(hash>>32)) / float32(1<<31)
		vector = binary.LittleEndian.AppendUint32(vector, math.Float32bits(element))
	}
	return vector
}

// Score returns what any endpoint gives for a document, as JSON.
func Score(query, rawDocument string) float64 {
	return float64(xxhash.Sum64String(query+"\x00"+rawDocument)>>40) / float64(1<<24)
}
