package embeddings

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"
)

// Result is what a host gave for a part.
type Result struct {
	Vectors [][]byte  // little-endian 32-bit floats, in the order of the part's inputs
	Scores  []float64 // in that order
	Tokens  int       // as the host counted
}

// ReadPart reads a host's answer to a part of so many inputs. It is refused whole unless each input has exactly one vector, or
// score, of the right size whose numbers are all numbers: a vector that is wrong is worse than none, as nobody sees it.
func (a *Request) ReadPart(body []byte, inputs, dimensions int) (r Result, err error) {
	if !gjson.ValidBytes(body) {
		return r, fmt.Errorf("not JSON")
	}
	r.Tokens = int(gjson.GetBytes(body, "usage.prompt_tokens").Int())
	list := gjson.GetBytes(body, "data")
	if a.Kind == Rerank {
		list = gjson.GetBytes(body, "results")
		r.Scores = make([]float64, inputs)
	} else {
		r.Vectors = make([][]byte, inputs)
	}
	if !list.IsArray() {
		return r, fmt.Errorf("no list of results")
	}
	got := make([]bool, inputs)
	n := 0
	list.ForEach(func(_, v gjson.Result) bool {
		index := v.Get("index")
		at := int(index.Num)
		if index.Type != gjson.Number || at < 0 || at >= inputs || float64(at) != index.Num || got[at] {
			err = fmt.Errorf("index %.20s is none of the part's, or comes twice", index.Raw)
			return false
		}
		got[at] = true
		n++
		if a.Kind == Rerank {
			score := v.Get("relevance_score")
			if score.Type != gjson.Number || math.IsInf(score.Num, 0) || math.IsNaN(score.Num) {
				err = fmt.Errorf("the score of document %d is %.20q", at, score.Raw)
				return false
			}
			r.Scores[at] = score.Num
			return true
		}
		r.Vectors[at], err = readVector(v.Get("embedding"), dimensions)
		return err == nil
	})
	if err == nil && n != inputs {
		err = fmt.Errorf("%d results for %d inputs", n, inputs)
	}
	return r, err
}

func readVector(v gjson.Result, dimensions int) ([]byte, error) {
	var raw []byte
	switch {
	case v.Type == gjson.String:
		var err error
		if raw, err = base64.StdEncoding.DecodeString(v.Str); err != nil {
			return nil, fmt.Errorf("a vector that is not base64")
		}
	case v.IsArray():
		ok := true
		v.ForEach(func(_, x gjson.Result) bool {
			ok = ok && x.Type == gjson.Number
			raw = binary.LittleEndian.AppendUint32(raw, math.Float32bits(float32(x.Num)))
			return ok
		})
		if !ok {
			return nil, fmt.Errorf("a vector with something that is no number")
		}
	default:
		return nil, fmt.Errorf("no vector")
	}
	if len(raw) != 4*dimensions {
		return nil, fmt.Errorf("a vector of %d bytes, not of %d dimensions", len(raw), dimensions)
	}
	for i := 0; i < len(raw); i += 4 {
		if f := math.Float32frombits(binary.LittleEndian.Uint32(raw[i:])); f != f || math.IsInf(float64(f), 0) {
			return nil, fmt.Errorf("a vector with a number that is none")
		}
	}
	return raw, nil
}

// Answer gives the pieces of the answer to a call, all of whose inputs have their results.
type Answer struct {
	Request *Request
	ID      string
	Vectors [][]byte  // by place among the ask's inputs
	Scores  []float64 //
	Tokens  int
	ranked  []int32
	next    int
	piece   []byte
}

const pieceMost = 32 << 10

// Next is the next piece.
func (n *Answer) Next() (piece []byte, more bool) {
	b := n.piece[:0]
	total := len(n.Request.Order)
	if n.Request.Kind == Rerank {
		if n.ranked == nil {
			n.rank()
		}
		total = len(n.ranked)
	}
	if n.next == 0 {
		if n.Request.Kind == Rerank {
			b = append(b, `{"id":`...)
			b = appendString(b, n.ID)
			b = append(b, `,"results":[`...)
		} else {
			b = append(b, `{"object":"list","data":[`...)
		}
	}
	for ; n.next < total && len(b) < pieceMost; n.next++ {
		if n.next > 0 {
			b = append(b, ',')
		}
		b = n.one(b, n.next)
	}
	if more = n.next < total; !more {
		b = append(b, `],"model":`...)
		b = appendString(b, n.Request.Model)
		b = append(b, fmt.Sprintf(`,"usage":{"prompt_tokens":%d,"total_tokens":%d}}`, n.Tokens, n.Tokens)...)
	}
	n.piece = b
	return b, more
}

// rank sorts documents by their scores, the best first; equal ones stay in the order in which they came.
func (n *Answer) rank() {
	n.ranked = make([]int32, len(n.Request.Order))
	for i := range n.ranked {
		n.ranked[i] = int32(i)
	}
	slices.SortStableFunc(n.ranked, func(a, b int32) int {
		return cmp.Compare(n.Scores[n.Request.Order[b]], n.Scores[n.Request.Order[a]])
	})
	if top := n.Request.TopN; top > 0 && top < len(n.ranked) {
		n.ranked = n.ranked[:top]
	}
}

func (n *Answer) one(b []byte, at int) []byte {
	if n.Request.Kind == Rerank {
		i := n.ranked[at]
		b = append(b, `{"index":`...)
		b = strconv.AppendInt(b, int64(i), 10)
		b = append(b, `,"relevance_score":`...)
		b = strconv.AppendFloat(b, n.Scores[n.Request.Order[i]], 'g', -1, 64)
		if n.Request.ReturnDocuments {
			b = append(b, `,"document":{"text":`...)
			b = appendString(b, n.Request.Texts[n.Request.Order[i]])
			b = append(b, '}')
		}
		return append(b, '}')
	}
	v := n.Vectors[n.Request.Order[at]]
	b = append(b, `{"object":"embedding","index":`...)
	b = strconv.AppendInt(b, int64(at), 10)
	b = append(b, `,"embedding":`...)
	if n.Request.Base64 {
		b = append(b, '"')
		b = base64.StdEncoding.AppendEncode(b, v)
		return append(b, '"', '}')
	}
	for i := 0; i < len(v); i += 4 {
		sep := byte(',')
		if i == 0 {
			sep = '['
		}
		b = strconv.AppendFloat(append(b, sep), float64(math.Float32frombits(binary.LittleEndian.Uint32(v[i:]))), 'g', -1, 32)
	}
	return append(b, ']', '}')
}

// appendString appends a text as JSON.
func appendString(b []byte, s string) []byte {
	text, _ := json.Marshal(s)
	return append(b, text...)
}
