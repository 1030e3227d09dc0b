package embeddings

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"github.com/tidwall/gjson"

	"plumspindle/internal/jsonsyntax"
)

// bytesPerDimension is the size of one element of a vector, a 32-bit float.
const bytesPerDimension = 4

// VectorBytes returns the size of a vector in bytes.
func VectorBytes(dimensions int) int { return bytesPerDimension * dimensions }

// Reasons why an endpoint's response to a part is rejected.
var (
	errNotJSON        = errors.New("response is not JSON")
	errNoResults      = errors.New("response has no array of results")
	errResultCount    = errors.New("number of results differs from number of inputs")
	errResultIndex    = errors.New("result index is out of range or repeated")
	errNotScore       = errors.New("relevance score is not a number")
	errNoVector       = errors.New("no vector")
	errVectorEncoding = errors.New("vector is not base64")
	errVectorSize     = errors.New("vector does not have the requested dimensions")
	errNotNumber      = errors.New("vector has an element that is not a number")
)

// PartResult is what an endpoint returned for a part.
type PartResult struct {
	Vectors [][]byte  // little-endian 32-bit floats, in the order of the part's inputs
	Scores  []float64 // in the order of the part's inputs
	Tokens  int       // as counted by the endpoint
}

// ReadPart parses an endpoint's response to a part with the given number of inputs. It rejects the response unless each
// input has exactly one vector or score, of the right size and finite, because a client would not notice a wrong vector
// but does notice a missing one.
func (r *Request) ReadPart(body []byte, inputs, dimensions int) (PartResult, error) {
	if !jsonsyntax.Valid(body) {
		return PartResult{}, errNotJSON
	}
	p := partParser{kind: r.Kind, dimensions: dimensions, seen: make([]bool, inputs)}
	p.result.Tokens = int(gjson.GetBytes(body, "usage.prompt_tokens").Int())
	resultsMember := "data"
	if r.Kind == Rerank {
		resultsMember = "results"
		p.result.Scores = make([]float64, inputs)
	} else {
		p.result.Vectors = make([][]byte, inputs)
	}
	if err := p.readAll(gjson.GetBytes(body, resultsMember)); err != nil {
		return PartResult{}, err
	}
	return p.result, nil
}

// partParser parses the results for one part.
type partParser struct {
	kind       Kind
	dimensions int
	result     PartResult
	seen       []bool // whether an input has its result
	count      int    // of results so far
}

// readAll reads the array of results.
func (p *partParser) readAll(list gjson.Result) (err error) {
	if !list.IsArray() {
		return errNoResults
	}
	list.ForEach(func(_, item gjson.Result) bool {
		err = p.read(item)
		return err == nil
	})
	if err == nil && p.count != len(p.seen) {
		return fmt.Errorf("%w: %d for %d", errResultCount, p.count, len(p.seen))
	}
	return err
}

// read reads the result for one input.
func (p *partParser) read(item gjson.Result) (err error) {
	index := item.Get("index")
	at := int(index.Num)
	if index.Type != gjson.Number || at < 0 || at >= len(p.seen) || float64(at) != index.Num || p.seen[at] {
		return fmt.Errorf("%w: %.20s", errResultIndex, index.Raw)
	}
	p.seen[at] = true
	p.count++
	if p.kind == Rerank {
		p.result.Scores[at], err = readScore(item.Get("relevance_score"))
	} else {
		p.result.Vectors[at], err = readVector(item.Get("embedding"), p.dimensions)
	}
	if err != nil {
		return fmt.Errorf("result %d: %w", at, err)
	}
	return nil
}

func readScore(score gjson.Result) (float64, error) {
	if score.Type != gjson.Number || math.IsInf(score.Num, 0) || math.IsNaN(score.Num) {
		return 0, fmt.Errorf("%w: %.20q", errNotScore, score.Raw)
	}
	return score.Num, nil
}

// readVector reads a vector, which endpoints may return as base64 or as an array of numbers.
func readVector(value gjson.Result, dimensions int) (vector []byte, err error) {
	switch {
	case value.Type == gjson.String:
		vector, err = base64.StdEncoding.DecodeString(value.Str)
		if err != nil {
			return nil, errVectorEncoding
		}
	case value.IsArray():
		vector, err = readNumbers(value)
		if err != nil {
			return nil, err
		}
	default:
		return nil, errNoVector
	}
	if len(vector) != VectorBytes(dimensions) {
		return nil, fmt.Errorf("%w: %d bytes for %d dimensions", errVectorSize, len(vector), dimensions)
	}
	for i := 0; i < len(vector); i += bytesPerDimension {
		number := float64(floatAt(vector, i))
		if math.IsNaN(number) || math.IsInf(number, 0) {
			return nil, errNotNumber
		}
	}
	return vector, nil
}

// readNumbers reads a vector that is given as an array of numbers.
func readNumbers(list gjson.Result) (vector []byte, err error) {
	list.ForEach(func(_, number gjson.Result) bool {
		if number.Type != gjson.Number {
			err = errNotNumber
			return false
		}
		vector = binary.LittleEndian.AppendUint32(vector, math.Float32bits(float32(number.Num)))
		return true
	})
	return vector, err
}

// floatAt returns the element of a vector that begins at a byte offset.
func floatAt(vector []byte, offset int) float32 {
	return math.Float32frombits(binary.LittleEndian.Uint32(vector[offset:]))
}
