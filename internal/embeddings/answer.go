package embeddings

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
)

// minPieceBytes is the minimum size of each piece of an answer but the last.
const minPieceBytes = 32 << 10

// Answer encodes, in pieces, the answer to a call whose inputs all have their results.
type Answer struct {
	Request *Request
	ID      string
	Vectors [][]byte  // indexed like the request's Inputs
	Scores  []float64 // indexed like the request's Inputs
	Tokens  int       // as counted by the endpoints

	ranked []int32 // the documents to return, highest score first, as indices in the request's Order
	next   int     // index of the next embedding or document to encode
	piece  []byte  // buffer of the last piece, reused for the next
}

// Next returns the next piece of the answer, which is valid until the next call, and whether more pieces follow.
func (a *Answer) Next() (piece []byte, more bool) {
	total := len(a.Request.Order)
	if a.Request.Kind == Rerank {
		if a.ranked == nil {
			a.rank()
		}
		total = len(a.ranked)
	}
	out := a.piece[:0]
	if a.next == 0 {
		out = a.appendHead(out)
	}
	for ; a.next < total && len(out) < minPieceBytes; a.next++ {
		if a.next > 0 {
			out = append(out, ',')
		}
		out = a.appendItem(out, a.next)
	}
	more = a.next < total
	if !more {
		out = a.appendTail(out)
	}
	a.piece = out
	return out, more
}

// rank sorts the documents by score, the highest first, and keeps the first TopN of them. Documents with equal scores
// stay in the order of the request.
func (a *Answer) rank() {
	order := a.Request.Order
	a.ranked = make([]int32, len(order))
	for i := range a.ranked {
		a.ranked[i] = int32(i)
	}
	slices.SortStableFunc(a.ranked, func(left, right int32) int {
		return cmp.Compare(a.Scores[order[right]], a.Scores[order[left]])
	})
	if top := a.Request.TopN; top > 0 && top < len(a.ranked) {
		a.ranked = a.ranked[:top]
	}
}

// appendHead appends what precedes the embeddings or documents.
func (a *Answer) appendHead(out []byte) []byte {
	if a.Request.Kind != Rerank {
		return append(out, `{"object":"list","data":[`...)
	}
	out = append(out, `{"id":`...)
	out = appendString(out, a.ID)
	return append(out, `,"results":[`...)
}

// appendTail appends what follows the embeddings or documents.
func (a *Answer) appendTail(out []byte) []byte {
	out = append(out, `],"model":`...)
	out = appendString(out, a.Request.Model)
	return fmt.Appendf(out, `,"usage":{"prompt_tokens":%d,"total_tokens":%d}}`, a.Tokens, a.Tokens)
}

func (a *Answer) appendItem(out []byte, item int) []byte {
	if a.Request.Kind == Rerank {
		return a.appendDocument(out, a.ranked[item])
	}
	return a.appendEmbedding(out, item)
}

func (a *Answer) appendDocument(out []byte, index int32) []byte {
	input := a.Request.Order[index]
	out = append(out, `{"index":`...)
	out = strconv.AppendInt(out, int64(index), 10)
	out = append(out, `,"relevance_score":`...)
	out = strconv.AppendFloat(out, a.Scores[input], 'g', -1, 64)
	if a.Request.ReturnDocuments {
		out = append(out, `,"document":{"text":`...)
		out = appendString(out, a.Request.Texts[input])
		out = append(out, '}')
	}
	return append(out, '}')
}

func (a *Answer) appendEmbedding(out []byte, index int) []byte {
	vector := a.Vectors[a.Request.Order[index]]
	out = append(out, `{"object":"embedding","index":`...)
	out = strconv.AppendInt(out, int64(index), 10)
	out = append(out, `,"embedding":`...)
	if a.Request.EncodeBase64 {
		out = append(out, '"')
		out = base64.StdEncoding.AppendEncode(out, vector)
		return append(out, `"}`...)
	}
	separator := byte('[')
	for offset := 0; offset < len(vector); offset += bytesPerDimension {
		out = append(out, separator)
		out = strconv.AppendFloat(out, float64(floatAt(vector, offset)), 'g', -1, 32)
		separator = ','
	}
	return append(out, "]}"...)
}

// appendString appends a text as a JSON string.
func appendString(out []byte, text string) []byte {
	encoded, err := json.Marshal(text)
	if err != nil {
		panic(fmt.Errorf("marshal string: %w", err)) // every string can be encoded
	}
	return append(out, encoded...)
}
