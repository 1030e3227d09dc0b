package modelserver

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/internal/http1"
)

// Answers to batches; their fields stand in the order of their names.
type (
	embedding struct {
		Embedding string `json:"embedding"` // base64 of little-endian floats
		Index     int    `json:"index"`
		Object    string `json:"object"`
	}
	embeddingsAnswer struct {
		Data  []embedding `json:"data"`
		Model string      `json:"model"`
		Usage batchUsage  `json:"usage"`
	}
	rerankResult struct {
		Index          int     `json:"index"`
		RelevanceScore float64 `json:"relevance_score"`
	}
	rerankAnswer struct {
		Model   string         `json:"model"`
		Results []rerankResult `json:"results"`
		Usage   batchUsage     `json:"usage"`
	}
	batchUsage struct {
		PromptTokens int `json:"prompt_tokens"`
		TotalTokens  int `json:"total_tokens"`
	}
)

// acceptBatch accepts a call for embeddings or for a reranking, which ends with its prefill.
func (e *Endpoint) acceptBatch(conn *endpointConn, head *http1.Head, body []byte) {
	inputs, query := gjson.GetBytes(body, "input"), gjson.GetBytes(body, "query").String()
	isRerank := head.Target == RerankPath
	if isRerank {
		inputs = gjson.GetBytes(body, "documents")
	}
	attempt := newAttempt(conn, head, body)
	attempt.prefillOnly = true
	attempt.promptTokens = 1
	inputs.ForEach(func(_, input gjson.Result) bool {
		if input.IsArray() { // of tokens
			attempt.promptTokens += len(input.Array())
		} else {
			attempt.promptTokens += (len(input.Raw) + len(query)) / bytesPerToken
		}
		return true
	})
	attempt.toPrefill = attempt.promptTokens
	if strings.Contains(inputs.Raw, Poison) {
		attempt.forcedStatus = http.StatusInternalServerError
	} else if strings.Contains(inputs.Raw, Unreadable) {
		attempt.forcedStatus = http.StatusUnprocessableEntity
	}
	usage := batchUsage{PromptTokens: attempt.promptTokens, TotalTokens: attempt.promptTokens}
	if isRerank {
		attempt.answer = func() []byte {
			return marshal(rerankAnswer{Model: attempt.product, Results: rerank(query, inputs),
				Usage: usage})
		}
	} else {
		dimensions := int(gjson.GetBytes(body, "dimensions").Int())
		attempt.answer = func() []byte {
			return marshal(embeddingsAnswer{Data: embed(inputs, dimensions), Model: attempt.product, Usage: usage})
		}
	}
	attempt.work = float64(attempt.promptTokens)
	e.accept(attempt)
}

func embed(inputs gjson.Result, dimensions int) []embedding {
	embeddings := []embedding{}
	inputs.ForEach(func(_, input gjson.Result) bool {
		embeddings = append(embeddings, embedding{Index: len(embeddings), Object: "embedding",
			Embedding: base64.StdEncoding.EncodeToString(Vector(input.Raw, dimensions))})
		return true
	})
	return embeddings
}

func rerank(query string, documents gjson.Result) []rerankResult {
	results := []rerankResult{}
	documents.ForEach(func(_, document gjson.Result) bool {
		results = append(results, rerankResult{Index: len(results), RelevanceScore: Score(query, document.Raw)})
		return true
	})
	return results
}

// marshal is for values that always have a JSON form.
func marshal(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

// finishBatch answers a batch, whose prefill is all that was asked for.
func (e *Endpoint) finishBatch(attempt *endpointAttempt) {
	e.finish(attempt)
	if !attempt.abandoned {
		attempt.conn.answer(http.StatusOK, attempt.answer())
	}
}
