package modelserver

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/internal/http1"
)

// JSON bodies of the responses to batch calls. Their fields are in alphabetical order.
type (
	embedding struct {
		Embedding string `json:"embedding"` // base64 of little-endian float32 values
		Index     int    `json:"index"`
		Object    string `json:"object"`
	}
	embeddingsResponse struct {
		Data  []embedding `json:"data"`
		Model string      `json:"model"`
		Usage batchUsage  `json:"usage"`
	}
	rerankResult struct {
		Index          int     `json:"index"`
		RelevanceScore float64 `json:"relevance_score"`
	}
	rerankResponse struct {
		Model   string         `json:"model"`
		Results []rerankResult `json:"results"`
		Usage   batchUsage     `json:"usage"`
	}
	batchUsage struct {
		PromptTokens int `json:"prompt_tokens"`
		TotalTokens  int `json:"total_tokens"`
	}
)

// acceptBatch parses an embeddings or rerank call and accepts it. Such a call needs a prefill only.
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
		if input.IsArray() { // an input given as token ids
			attempt.promptTokens += len(input.Array())
		} else {
			attempt.promptTokens += (len(input.Raw) + len(query)) / bytesPerToken
		}
		return true
	})
	attempt.prefillRemaining = attempt.promptTokens
	if strings.Contains(inputs.Raw, FailingInputWord) {
		attempt.forcedStatus = http.StatusInternalServerError
	} else if strings.Contains(inputs.Raw, InvalidInputWord) {
		attempt.forcedStatus = http.StatusUnprocessableEntity
	}
	usage := batchUsage{PromptTokens: attempt.promptTokens, TotalTokens: attempt.promptTokens}
	if isRerank {
		attempt.batchResponse = func() []byte {
			return marshal(rerankResponse{Model: attempt.product, Results: rerank(query, inputs),
				Usage: usage})
		}
	} else {
		dimensions := int(gjson.GetBytes(body, "dimensions").Int())
		attempt.batchResponse = func() []byte {
			return marshal(embeddingsResponse{Data: embed(inputs, dimensions), Model: attempt.product, Usage: usage})
		}
	}
	attempt.workTokens = float64(attempt.promptTokens)
	e.accept(attempt)
}

// embed returns the embedding of each input.
func embed(inputs gjson.Result, dimensions int) []embedding {
	embeddings := []embedding{}
	inputs.ForEach(func(_, input gjson.Result) bool {
		embeddings = append(embeddings, embedding{Index: len(embeddings), Object: "embedding",
			Embedding: base64.StdEncoding.EncodeToString(Vector(input.Raw, dimensions))})
		return true
	})
	return embeddings
}

// rerank returns the score of each document, in the order of the documents.
func rerank(query string, documents gjson.Result) []rerankResult {
	results := []rerankResult{}
	documents.ForEach(func(_, document gjson.Result) bool {
		results = append(results, rerankResult{Index: len(results), RelevanceScore: Score(query, document.Raw)})
		return true
	})
	return results
}

// marshal encodes a value that can always be encoded as JSON.
func marshal(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

// finishBatch sends the response to a batch call, whose prefill is complete.
func (e *Endpoint) finishBatch(attempt *endpointAttempt) {
	e.removeAttempt(attempt)
	if !attempt.disconnected {
		attempt.conn.respond(http.StatusOK, attempt.batchResponse())
	}
}
