package embeddings

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
)

// pieceSize is how many bytes an answer's piece has at least, unless it is the last.
const pieceSize = 32 << 10

// Answer presents, piece by piece, the answer to a call whose inputs all have their results.
type Answer struct {
	Request *Request
	ID      string
	Vectors [][]byte  // by place among the request's inputs
	Scores  []float64 // by place among the request's inputs
	Tokens  int       // as endpoints counted

	ranked []int32 // places in Order of the documents to return, the best first
	next   int     // item of the answer
	piece  []byte
}

// Next returns the next piece, which is valid until the next call, and whether more follow.
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
	for ; a.next < total && len(out) < pieceSize; a.next++ {
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

// rank sorts documents by their scores, the best first; equal ones stay in the order in which they came.
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

func (a *Answer) appendHead(out []byte) []byte {
	if a.Request.Kind != Rerank {
		return append(out, `{"object":"list","data":[`...)
	}
	out = append(out, `{"id":`...)
	out = appendString(out, a.ID)
	return append(out, `,"results":[`...)
}

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
	place := a.Request.Order[index]
	out = append(out, `{"index":`...)
	out = strconv.AppendInt(out, int64(index), 10)
	out = append(out, `,"relevance_score":`...)
	out = strconv.AppendFloat(out, a.Scores[place], 'g', -1, 64)
	if a.Request.ReturnDocuments {
		out = append(out, `,"document":{"text":`...)
		out = appendString(out, a.Request.Texts[place])
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

// appendString appends a text as JSON.
func appendString(out []byte, text string) []byte {
	encoded, err := json.Marshal(text)
	if err != nil {
		panic(fmt.Errorf("marshal string: %w", err)) // there is no string without a JSON form
	}
	return append(out, encoded...)
}
