// Package embeddings is the client APIs that a prefill completes: embeddings after the public OpenAI specification, and
// reranking in the form that is commonly published.
//
// A Request reads a body as it arrives and owns its inputs, each only until its part of the call is back; an Answer
// presents vectors and scores as the one answer. The package relies on package frontend for the connections of clients
// and for their error objects, and on its Handler for all that happens to the inputs. It does no I/O, and never decides
// how a call is split into parts or where one runs: that is package batch's and the scheduler's.
package embeddings

import (
	"errors"
	"io"

	"plumspindle/internal/frontend"
	"plumspindle/internal/vectors"
)

// Kind is the API that a call came by.
type Kind uint8

// The two APIs.
const (
	Embeddings Kind = iota
	Rerank
)

// Path returns the API's one URL, both of clients and of endpoints.
func (k Kind) Path() string {
	if k == Rerank {
		return "/v1/rerank"
	}
	return "/v1/embeddings"
}

// ListName returns the name of the member that holds the inputs.
func (k Kind) ListName() string {
	if k == Rerank {
		return "documents"
	}
	return "input"
}

// Limits bound one call.
type Limits struct {
	MaxInputs      int // of a call
	MaxInputTokens int // of one input
	MaxBody        int // bytes, also once it is decoded
	MaxBuffered    int // bytes of inputs that are buffered at once
}

// Handler takes over what a Request has read.
type Handler interface {
	// Begin is called once all is known that a part needs; inputs may be sent from now on.
	Begin() *frontend.Problem
	// InputsAdded is called when further inputs have arrived, or, with last, when there will be none.
	InputsAdded(last bool) *frontend.Problem
}

// Request is what a client asks for, as far as its body has arrived. It is a frontend.Sink.
type Request struct {
	Kind            Kind
	Model           string
	EncodeBase64    bool // the vectors are to be given as base64
	Dimensions      int  // 0: as many as the model has
	Query           string
	TopN            int  // 0: all
	ReturnDocuments bool // the documents are to be given back
	Inputs          []Input
	Order           []int32  // of each input as it came, its place among Inputs
	BufferedBytes   int      // of inputs
	Texts           []string // of documents that are to be given back, by place among Inputs

	limits   Limits
	handler  Handler
	response *frontend.Response
	scanner  scanner
	decoder  *decoder // nil: the body is not encoded
	places   map[vectors.Key]int32
	loose    looseTokens
	begun    bool // Handler.Begin was called
	received bool // the whole body has arrived, though it may not be decoded yet
	finished bool // the whole body has been read
}

// NewRequest returns a request for a body in a content encoding, "" for none.
func NewRequest(
	kind Kind, encoding string, limits Limits, handler Handler, response *frontend.Response,
) *Request {
	r := &Request{
		Kind:     kind,
		limits:   limits,
		handler:  handler,
		response: response,
		decoder:  newDecoder(encoding),
		places:   map[vectors.Key]int32{},
	}
	r.scanner = scanner{
		lists:    []string{Embeddings.ListName(), Rerank.ListName()},
		maxValue: min(limits.MaxInputTokens*maxBytesPerToken+maxValueOverhead, limits.MaxBody),
		member:   r.readMember,
		element:  r.readElement,
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

// Close frees the memory that decoding takes.
func (r *Request) Close() {
	if r.decoder != nil {
		r.decoder.close()
	}
}

// DiscardInput drops an input whose result is there. If that makes space for more of the body, reading goes on; a
// problem that is returned is one of the inputs read then.
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
	r.response.PauseBody(false)
	return nil
}

// read takes the next bytes of the plain body.
func (r *Request) read(data []byte) *frontend.Problem {
	if problem := r.scanner.feed(data); problem != nil {
		return problem
	}
	return r.flush()
}

// flush has the inputs sent, and pauses the body, where much is buffered.
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
	r.response.PauseBody(r.BufferedBytes > r.limits.MaxBuffered)
	return nil
}

// ready reports whether all is known that a part needs.
func (r *Request) ready() bool { return r.Model != "" && (r.Kind != Rerank || r.Query != "") }

// begin begins the call, once.
func (r *Request) begin() *frontend.Problem {
	if r.begun {
		return nil
	}
	r.begun = true
	if !r.ReturnDocuments { // later members can't ask for it
		r.Texts = nil
	}
	return r.handler.Begin()
}

// decode reads on in an encoded body, as far as inputs may be buffered.
func (r *Request) decode() *frontend.Problem {
	if problem := r.decoder.open(); problem != nil {
		return problem
	}
	for r.BufferedBytes <= r.limits.MaxBuffered {
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

// finish checks a body that was read as a whole.
func (r *Request) finish() *frontend.Problem {
	if r.finished {
		return nil
	}
	r.finished = true
	if problem := r.scanner.close(); problem != nil {
		return problem
	}
	if problem := r.endLooseTokens(); problem != nil {
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

func (r *Request) checkRequired() *frontend.Problem {
	list := r.Kind.ListName()
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
