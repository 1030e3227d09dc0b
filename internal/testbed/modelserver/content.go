package modelserver

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Words in the inputs of a batch call: every endpoint fails a call with FailingInputWord, and refuses a call with
// InvalidInputWord as invalid.
const (
	FailingInputWord = "poison"
	InvalidInputWord = "unreadable"
)

// Parameters of the 32-bit FNV-1a hash.
const (
	fnvOffset = 2166136261
	fnvPrime  = 16777619
)

const answerLengthSeed = 97 // initial value of the hash that determines the length of an answer

// hashText continues an FNV-1a hash with the bytes of a text.
func hashText(hash uint32, text string) uint32 {
	for i := range len(text) {
		hash = (hash ^ uint32(text[i])) * fnvPrime
	}
	return hash
}

// TokenText returns the token at an index of the answer to a client's request. The token is the same at every endpoint,
// so clients can check each byte. Some tokens contain non-ASCII characters.
func TokenText(clientID string, index int) string {
	hash := (hashText(fnvOffset, clientID) ^ uint32(index)) * fnvPrime
	if hash%13 == 0 {
		return " é" + strconv.FormatUint(uint64(hash%997), 36)
	}
	return " " + strconv.FormatUint(uint64(hash%99991), 36)
}

// AnswerLength returns the number of tokens of the answer to a client's request, at least 1 and at most maxTokens.
func AnswerLength(clientID string, maxTokens int) int {
	return 1 + int(hashText(answerLengthSeed, clientID)>>8)%max(maxTokens, 1)
}

// Vector returns the embedding of a JSON-encoded input as little-endian float32 values. The embedding depends on the
// input only and is the same at every endpoint, so clients can check that each input got its own vector.
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

// Score returns the rerank score of a JSON-encoded document, the same at every endpoint and below 1.
func Score(query, rawDocument string) float64 {
	return float64(xxhash.Sum64String(query+"\x00"+rawDocument)>>40) / float64(1<<24)
}
