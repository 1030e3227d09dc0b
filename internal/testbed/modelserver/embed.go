package modelserver

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"math"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"plumspindle/internal/http1"
)

// Vector is the one that any host gives for an input, as JSON, so that its place and identity can be checked end to end.
func Vector(raw string, dimensions int) []byte {
	b := make([]byte, 0, 4*dimensions)
	h := xxhash.Sum64String(raw)
	for range dimensions {
		h ^= h >> 33
		h *= 0xff51afd7ed558ccd
		b = binary.LittleEndian.AppendUint32(b, math.Float32bits(float32(int32(h>>32))/float32(1<<31)))
	}
	return b
}

// Score is the one that any host gives for a document, as JSON.
func Score(query, raw string) float64 {
	return float64(xxhash.Sum64String(query+"\x00"+raw)>>40) / float64(1<<24)
}

// Words in an input that make any host fail on it, or say that it is no good.
const (
	Poison     = "poison"
	Unreadable = "unreadable"
)

// takeWhole begins a leg that is complete with its read.
func (h *Endpoint) takeWhole(c *hostConn, head *http1.Head, body []byte) {
	inputs := gjson.GetBytes(body, "input")
	query := gjson.GetBytes(body, "query").String()
	if head.Target == "/v1/rerank" {
		inputs = gjson.GetBytes(body, "documents")
	}
	j := &job{conn: c, leg: head.Get("x-request-id"), client: head.Get("x-client-request-id"), dispatcher: head.Get("x-dispatcher"),
		product: gjson.GetBytes(body, "model").String(), reads: true}
	if j.client == "" {
		j.client = j.leg
	}
	inputs.ForEach(func(_, v gjson.Result) bool {
		if v.IsArray() {
			j.prompt += len(v.Array())
		} else {
			j.prompt += (len(v.Raw) + len(query)) / 4
		}
		return true
	})
	j.prompt++
	j.toRead = j.prompt
	if strings.Contains(inputs.Raw, Poison) {
		j.fails = 500
	} else if strings.Contains(inputs.Raw, Unreadable) {
		j.fails = 422
	}
	j.whole = func() []byte {
		list, n := []any{}, 0
		inputs.ForEach(func(_, v gjson.Result) bool {
			if head.Target == "/v1/rerank" {
				list = append(list, map[string]any{"index": n, "relevance_score": Score(query, v.Raw)})
			} else {
				list = append(list, map[string]any{"object": "embedding", "index": n,
					"embedding": base64.StdEncoding.EncodeToString(Vector(v.Raw, int(gjson.GetBytes(body, "dimensions").Int())))})
			}
			n++
			return true
		})
		name := "data"
		if head.Target == "/v1/rerank" {
			name = "results"
		}
		b, _ := json.Marshal(map[string]any{name: list, "model": j.product, "usage": map[string]any{"prompt_tokens": j.prompt, "total_tokens": j.prompt}})
		return b
	}
	j.work = float64(j.prompt)
	h.fleet.note(h, "leg", j)
	h.bear(j.work)
	c.job = j
	if !h.alive {
		return
	}
	if h.frozen || c.parted() {
		c.late = append(c.late, func() { h.begin(j) })
		return
	}
	h.begin(j)
}

// wholeDone answers a read that is all that was asked for.
func (h *Endpoint) wholeDone(j *job) {
	h.leave(j)
	if !j.away {
		j.conn.answer(200, j.whole())
	}
}
