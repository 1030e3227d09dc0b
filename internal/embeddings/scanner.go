package embeddings

import (
	"slices"

	"github.com/tidwall/gjson"

	"plumspindle/internal/frontend"
	"plumspindle/internal/jsonsyntax"
)

// maxNameBytes is the maximum length of a member's name, including its quotes.
const maxNameBytes = 256

// scanner parses one JSON object whose bytes arrive in pieces of any size. It passes on each member as a whole, but
// the elements of a streamed array one by one, so that a body far larger than the buffer can be read. It follows
// RFC 8259, and validates each value before it passes the value on.
type scanner struct {
	streamedArrays []string // members whose elements are passed on one by one if they are arrays
	maxValueBytes  int      // of one value
	onMember       func(name string, raw []byte) *frontend.Problem
	onElement      func(name string, raw []byte) *frontend.Problem

	state           scanState
	name            string          // of the member that is being read
	seen            map[string]bool // names of the members so far
	hasMember       bool
	inStreamedArray bool
	value           []byte // the bytes so far of the value or name that is being read
	kind            valueKind
	depth           int  // of nested objects and arrays in the value
	inString        bool // the next byte belongs to a string or name
	escaped         bool // the next byte of the string follows a backslash
}

// scanState tells what a scanner is reading or expects next.
type scanState uint8

const (
	expectObject scanState = iota
	expectName             // a member's name, or the end of the object
	inName
	expectColon
	expectValue
	inValue
	expectComma // a comma, or the end of the streamed array or the object
	expectEnd   // only white space
)

// valueKind is the kind of the value that is being read.
type valueKind uint8

const (
	noValue    valueKind = iota
	arrayStart           // a streamed array has begun, but none of its elements has begun
	stringValue
	compositeValue // an object or an array
	scalarValue    // a number, true, false or null
)

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// feed parses the next bytes. It must not be called again after it has returned a problem.
func (s *scanner) feed(data []byte) *frontend.Problem {
	for len(data) > 0 {
		used, problem := 1, (*frontend.Problem)(nil)
		if s.state == inValue {
			used, problem = s.scanValue(data)
		} else {
			problem = s.scanByte(data[0])
		}
		if problem != nil {
			return problem
		}
		data = data[used:]
	}
	return nil
}

// scanByte parses one byte that is outside of a value, or the first byte of one.
func (s *scanner) scanByte(char byte) *frontend.Problem {
	if s.state != inName && isSpace(char) {
		return nil
	}
	switch s.state {
	case expectObject:
		return s.beginObject(char)
	case expectName:
		return s.beginName(char)
	case inName:
		return s.scanName(char)
	case expectColon:
		return s.scanColon(char)
	case expectValue:
		return s.beginValue(char)
	case expectComma:
		return s.scanComma(char)
	default:
		return frontend.InvalidJSON()
	}
}

func (s *scanner) beginObject(c byte) *frontend.Problem {
	if c != '{' {
		return frontend.NotAnObject()
	}
	s.state = expectName
	return nil
}

func (s *scanner) beginName(c byte) *frontend.Problem {
	switch {
	case c == '"':
		s.state, s.value, s.inString, s.escaped = inName, append(s.value[:0], c), true, false
	case c == '}' && !s.hasMember:
		s.state = expectEnd
	default:
		return frontend.InvalidJSON()
	}
	return nil
}

func (s *scanner) scanName(c byte) *frontend.Problem {
	if s.value = append(s.value, c); len(s.value) > maxNameBytes {
		return frontend.Invalid("", "invalid_json", "The name of a parameter is too long.")
	}
	if !s.scanString(c) {
		return nil
	}
	if !jsonsyntax.Valid(s.value) {
		return frontend.InvalidJSON()
	}
	s.name, s.state, s.hasMember = gjson.ParseBytes(s.value).String(), expectColon, true
	if s.seen[s.name] {
		return frontend.DuplicateParameter(s.name)
	}
	if s.seen == nil {
		s.seen = map[string]bool{}
	}
	s.seen[s.name] = true
	return nil
}

func (s *scanner) scanColon(c byte) *frontend.Problem {
	if c != ':' {
		return frontend.InvalidJSON()
	}
	s.state = expectValue
	return nil
}

func (s *scanner) scanComma(c byte) *frontend.Problem {
	switch {
	case c == ',' && s.inStreamedArray:
		s.state = expectValue
	case c == ',':
		s.state = expectName
	case c == ']' && s.inStreamedArray:
		s.inStreamedArray = false
	case c == '}' && !s.inStreamedArray:
		s.state = expectEnd
	default:
		return frontend.InvalidJSON()
	}
	return nil
}

// beginValue parses the first byte of a value or of a streamed array, or the end of an empty streamed array.
func (s *scanner) beginValue(char byte) *frontend.Problem {
	switch {
	case char == '[' && !s.inStreamedArray && slices.Contains(s.streamedArrays, s.name):
		s.inStreamedArray, s.kind = true, arrayStart
		return nil
	case char == ']' && s.inStreamedArray && s.kind == arrayStart: // an empty array
		s.inStreamedArray, s.state = false, expectComma
		return nil
	case char == ',' || char == ']' || char == '}' || char == ':':
		return frontend.InvalidJSON()
	}
	s.state, s.value = inValue, append(s.value[:0], char)
	s.kind, s.depth, s.inString, s.escaped = scalarValue, 0, false, false
	switch char {
	case '"':
		s.kind, s.inString = stringValue, true
	case '{', '[':
		s.kind, s.depth = compositeValue, 1
	}
	return nil
}

// scanValue parses the next bytes of a value and returns how many bytes it has used. It appends the bytes of a string
// up to the next quote or escape at once, because nearly all of a large body consists of such bytes.
func (s *scanner) scanValue(data []byte) (used int, problem *frontend.Problem) {
	if s.inString && !s.escaped {
		used = unescapedLength(data)
		s.value = append(s.value, data[:used]...)
		if used == len(data) {
			return used, s.checkLength()
		}
	}
	c := data[used]
	if s.kind == scalarValue && endsScalar(c) { // c itself is not part of the value
		return used, s.endValue()
	}
	s.value = append(s.value, c)
	if problem := s.checkLength(); problem != nil {
		return used, problem
	}
	return used + 1, s.scanValueByte(c)
}

// scanValueByte parses one byte that was appended to the value.
func (s *scanner) scanValueByte(c byte) *frontend.Problem {
	if s.inString {
		if s.scanString(c) && s.kind == stringValue {
			return s.endValue()
		}
		return nil
	}
	switch c {
	case '"':
		s.inString = true
	case '{', '[':
		s.depth++
	case '}', ']':
		if s.depth--; s.depth == 0 && s.kind == compositeValue {
			return s.endValue()
		}
	}
	return nil
}

// scanString parses one byte of a string and reports whether it is the closing quote.
func (s *scanner) scanString(c byte) bool {
	switch {
	case s.escaped:
		s.escaped = false
	case c == '\\':
		s.escaped = true
	case c == '"' && len(s.value) > 1:
		s.inString = false
		return true
	}
	return false
}

// endValue validates the value that has ended, and passes it on.
func (s *scanner) endValue() *frontend.Problem {
	if !jsonsyntax.Valid(s.value) {
		return frontend.InvalidJSON()
	}
	s.state = expectComma
	if s.inStreamedArray {
		return s.onElement(s.name, s.value)
	}
	return s.onMember(s.name, s.value)
}

func (s *scanner) checkLength() *frontend.Problem {
	if len(s.value) > s.maxValueBytes {
		return frontend.Invalid(s.name, "value_too_long",
			"A value of '%.60s' is longer than %d bytes.", s.name, s.maxValueBytes)
	}
	return nil
}

// close checks that the object has ended with the body.
func (s *scanner) close() *frontend.Problem {
	if s.state != expectEnd {
		return frontend.InvalidJSON()
	}
	return nil
}

// unescapedLength returns how many bytes of a string come before the next quote or backslash.
func unescapedLength(data []byte) int {
	for i, c := range data {
		if c == '"' || c == '\\' {
			return i
		}
	}
	return len(data)
}

// endsScalar reports whether a byte ends a number, true, false or null.
func endsScalar(c byte) bool { return c == ',' || c == ']' || c == '}' || isSpace(c) }
