// Package embeddings implements the client APIs whose results are complete after a prefill: embeddings according to the
// public OpenAI specification, and reranking in the form that is commonly published.
//
// A Request reads a body as it arrives and owns its inputs, each until the part of the call with that input has
// completed; an Answer encodes the vectors or scores of all parts as one response body. The package relies on package
// frontend for the connections of clients and for their error objects, and on the Handler that each Request is given
// for the processing of the inputs. It does no I/O. Package batch decides how a call is split into parts, and the
// scheduler where a part runs.
package embeddings

import (
	"errors"
	"io"

	"plumspindle/internal/frontend"
	"plumspindle/internal/vectors"
)

// Kind is the API that a call uses.
type Kind uint8

// The two APIs.
const (
	Embeddings Kind = iota
	Rerank
)

// Path returns the URL path of the API, which is the same for clients and at endpoints.
func (k Kind) Path() string {
	if k == Rerank {
		return "/v1/rerank"
	}
	return "/v1/embeddings"
}

// InputsMember returns the name of the body's member that holds the inputs.
func (k Kind) InputsMember() string {
	if k == Rerank {
		return "documents"
	}
	return "input"
}

// Limits bound one call.
type Limits struct {
	MaxInputs      int // of a call
	MaxInputTokens int // of one input
	MaxBody        int // bytes of the body, both as it arrives and after decoding
	MaxBuffered    int // bytes of inputs that are buffered at the same time
}

// Handler processes what a Request has read.
type Handler interface {
	// Begin is called once, when enough of the body is known to send parts.
	Begin() *frontend.Problem
	// InputsAdded is called when more inputs have arrived, or, with last set, when the body has ended.
	InputsAdded(last bool) *frontend.Problem
	// BodyRejected is called with the problem of an encoded body that was found after Request.End had returned.
	BodyRejected(problem *frontend.Problem)
}

// Request is the request of one call, as far as its body has arrived. It is a frontend.Sink.
type Request struct {
	Kind            Kind
	Model           string
	EncodeBase64    bool // vectors are returned as base64
	Dimensions      int  // 0: as many as the model has
	Query           string
	TopN            int  // how many documents are returned; 0: all
	ReturnDocuments bool // the texts of the documents are returned with the scores
	Inputs          []Input
	Order           []int32  // for each input in the order of the body, its index in Inputs
	BufferedBytes   int      // of Inputs
	Texts           []string // of the documents, indexed like Inputs; nil once it is known that they are not returned

	limits   Limits
	handler  Handler
	response *frontend.Response
	scanner  scanner
	decoder  *decoder // nil: the body has no content encoding

	afterOtherEvents func(func()) // see frontend.Response
	decodingLater    bool         // afterOtherEvents will continue to decode the body

	indexByKey map[vectors.Key]int32 // of Inputs
	tokenArray tokenArray
	begun      bool // Handler.Begin was called
	received   bool // the whole body has arrived, but it may not be decoded yet
	finished   bool // the whole body has been decoded and read
}

// NewRequest returns a request whose body is still to arrive. The content encoding of the body is gzip, zstd, identity
// or empty.
func NewRequest(
	kind Kind, encoding string, limits Limits, handler Handler, response *frontend.Response,
) *Request {
	r := &Request{
		Kind:       kind,
		limits:     limits,
		handler:    handler,
		response:   response,
		decoder:    newDecoder(encoding),
		indexByKey: map[vectors.Key]int32{},
	}
	if response != nil {
		r.afterOtherEvents = response.AfterOtherEvents
	}
	r.scanner = scanner{
		streamedArrays: []string{Embeddings.InputsMember(), Rerank.InputsMember()},
		maxValueBytes:  min(limits.MaxInputTokens*maxBytesPerToken+maxValueOverhead, limits.MaxBody),
		onMember:       r.readMember,
		onElement:      r.readElement,
	}
	return r
}

// Data implements frontend.Sink.
func (r *Request) Data(data []byte) *frontend.Problem {
	if r.decoder != nil {
		return r.decoder.add(data)
	}
	return r.read(data)
}

// End implements frontend.Sink.
func (r *Request) End() *frontend.Problem {
	r.received = true
	if r.decoder == nil {
		return r.finish()
	}
	return r.decode()
}

// Close frees the memory of the decoder.
func (r *Request) Close() {
	if r.decoder != nil {
		r.decoder.close()
	}
}

// DiscardInput frees the memory of an input that has its result. If at most half of the buffer is used afterwards, the
// request continues to read the body. DiscardInput returns the problem, if any, in what is read of the body during the
// call.
func (r *Request) DiscardInput(i int) *frontend.Problem {
	input := &r.Inputs[i]
	r.BufferedBytes -= len(input.Raw)
	input.Raw = nil
	if r.finished || r.BufferedBytes > r.limits.MaxBuffered/2 {
		return nil
	}
	if r.received && r.decoder != nil {
		return r.decode()
	}
	r.response.SetBodyPaused(false)
	return nil
}

// read parses the next bytes of the decoded body.
func (r *Request) read(data []byte) *frontend.Problem {
	if problem := r.scanner.feed(data); problem != nil {
		return problem
	}
	return r.flush()
}

// flush reports inputs to the handler before the body has ended, if more than half of the buffer is used, and pauses
// the body if the buffer is full.
func (r *Request) flush() *frontend.Problem {
	if r.BufferedBytes <= r.limits.MaxBuffered/2 {
		return nil
	}
	if !r.begun && !r.ready() {
		if r.BufferedBytes <= r.limits.MaxBuffered {
			return nil
		}
		return frontend.BodyTooLarge("Where the inputs have more than %d bytes, 'model' and what else is no input "+
			"have to come before them.", r.limits.MaxBuffered)
	}
	if problem := r.begin(); problem != nil {
		return problem
	}
	if problem := r.handler.InputsAdded(false); problem != nil {
		return problem
	}
	r.response.SetBodyPaused(r.BufferedBytes > r.limits.MaxBuffered)
	return nil
}

// ready reports whether enough of the body is known to send parts.
func (r *Request) ready() bool { return r.Model != "" && (r.Kind != Rerank || r.Query != "") }

// begin calls Handler.Begin, once.
func (r *Request) begin() *frontend.Problem {
	if r.begun {
		return nil
	}
	r.begun = true
	if !r.ReturnDocuments { // readMember rejects return_documents from now on
		r.Texts = nil
	}
	return r.handler.Begin()
}

// decode continues to decode and read an encoded body until the buffer for inputs is full or the body ends. An encoded
// body may be a thousand times larger once it is decoded, so other events are handled in between.
func (r *Request) decode() *frontend.Problem {
	if r.decodingLater {
		return nil
	}
	if problem := r.decoder.open(); problem != nil {
		return problem
	}
	begin := r.decoder.decodedBytes
	for r.BufferedBytes <= r.limits.MaxBuffered {
		if r.decoder.decodedBytes-begin >= maxDecodedPerTurn {
			r.decodingLater = true
			r.afterOtherEvents(r.continueDecoding)
			return nil
		}
		data, err := r.decoder.read()
		if r.decoder.decodedBytes > r.limits.MaxBody {
			return frontend.BodyTooLarge("The body is larger than %d bytes once it is decoded.", r.limits.MaxBody)
		}
		if problem := r.read(data); problem != nil {
			return problem
		}
		if errors.Is(err, io.EOF) {
			r.Close()
			return r.finish()
		}
		if err != nil {
			return r.decoder.malformed()
		}
	}
	return nil
}

// continueDecoding continues decode after other events.
func (r *Request) continueDecoding() {
	r.decodingLater = false
	if problem := r.decode(); problem != nil {
		r.handler.BodyRejected(problem)
	}
}

// finish checks a body that was read to its end, and reports the end to the handler.
func (r *Request) finish() *frontend.Problem {
	if r.finished {
		return nil
	}
	r.finished = true
	if problem := r.scanner.close(); problem != nil {
		return problem
	}
	if problem := r.finishTokenArray(); problem != nil {
		return problem
	}
	if problem := r.checkRequired(); problem != nil {
		return problem
	}
	if problem := r.begin(); problem != nil {
		return problem
	}
	return r.handler.InputsAdded(true)
}

// checkRequired checks that the body has all required members and at least one input.
func (r *Request) checkRequired() *frontend.Problem {
	list := r.Kind.InputsMember()
	switch {
	case r.Model == "":
		return frontend.MissingParameter("model")
	case r.Kind == Rerank && !r.scanner.seen["query"]:
		return frontend.MissingParameter("query")
	case !r.scanner.seen[list]:
		return frontend.MissingParameter(list)
	case len(r.Order) == 0:
		return frontend.EmptyArray(list)
	}
	return nil
}
