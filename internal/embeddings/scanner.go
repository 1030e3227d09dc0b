package embeddings

import (
	"slices"

	"github.com/tidwall/gjson"

	"plumspindle/internal/frontend"
)

// maxName is how many bytes the name of a member may have, with its quotes.
const maxName = 256

// scanner reads one JSON object as its bytes arrive, however they are cut: small members as a whole, and the elements
// of lists one by one, so that a body far larger than what may be buffered can be read. It follows RFC 8259; each value
// is checked before it is handed over.
type scanner struct {
	lists    []string // members whose elements are handed over one by one
	maxValue int      // bytes of one value
	member   func(name string, raw []byte) *frontend.Problem
	element  func(name string, raw []byte) *frontend.Problem

	state     scanState
	name      string          // of the member that is being read
	seen      map[string]bool // names of members
	hasMember bool
	inList    bool
	value     []byte // of the value, or name, that is being read
	kind      valueKind
	depth     int  // of nested objects and lists in the value
	inString  bool // of the value
	escaped   bool // the next byte of the string is
}

// scanState is what a scanner expects next.
type scanState uint8

const (
	expectObject scanState = iota
	expectName             // or the end of the object
	inName
	expectColon
	expectValue
	inValue
	expectComma // or the end of the list or object
	expectEnd
)

// valueKind is what kind of value is being read.
type valueKind uint8

const (
	noValue   valueKind = iota
	listStart           // no value yet: the elements of a list follow
	stringValue
	compositeValue // an object or a list
	scalarValue    // a number or a word
)

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// feed takes the next bytes. Nothing may follow a problem.
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

// scanByte takes one byte that is not a value's.
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
		return s.passColon(char)
	case expectValue:
		return s.beginValue(char)
	case expectComma:
		return s.passComma(char)
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
	if s.value = append(s.value, c); len(s.value) > maxName {
		return frontend.Invalid("", "invalid_json", "The name of a parameter is too long.")
	}
	if !s.scanString(c) {
		return nil
	}
	if !gjson.ValidBytes(s.value) {
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

func (s *scanner) passColon(c byte) *frontend.Problem {
	if c != ':' {
		return frontend.InvalidJSON()
	}
	s.state = expectValue
	return nil
}

func (s *scanner) passComma(c byte) *frontend.Problem {
	switch {
	case c == ',' && s.inList:
		s.state = expectValue
	case c == ',':
		s.state = expectName
	case c == ']' && s.inList:
		s.inList = false
	case c == '}' && !s.inList:
		s.state = expectEnd
	default:
		return frontend.InvalidJSON()
	}
	return nil
}

// beginValue takes the first byte of a value, or of a list whose elements are handed over one by one.
func (s *scanner) beginValue(char byte) *frontend.Problem {
	switch {
	case char == '[' && !s.inList && slices.Contains(s.lists, s.name):
		s.inList, s.kind = true, listStart
		return nil
	case char == ']' && s.inList && s.kind == listStart: // an empty list
		s.inList, s.state = false, expectComma
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

// scanValue takes the next bytes of a value and returns how many. A stretch of a string's plain bytes is taken at once:
// that is nearly all of a large body.
func (s *scanner) scanValue(data []byte) (used int, problem *frontend.Problem) {
	if s.inString && !s.escaped {
		used = plainLength(data)
		s.value = append(s.value, data[:used]...)
		if used == len(data) {
			return used, s.checkLength()
		}
	}
	c := data[used]
	if s.kind == scalarValue && endsScalar(c) { // which it is not part of
		return used, s.endValue()
	}
	s.value = append(s.value, c)
	if problem := s.checkLength(); problem != nil {
		return used, problem
	}
	return used + 1, s.scanValueByte(c)
}

// scanValueByte takes one byte that was appended to the value.
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

// scanString takes one byte of a string and reports whether it is the last.
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

// endValue hands over a value.
func (s *scanner) endValue() *frontend.Problem {
	if !gjson.ValidBytes(s.value) {
		return frontend.InvalidJSON()
	}
	s.state = expectComma
	if s.inList {
		return s.element(s.name, s.value)
	}
	return s.member(s.name, s.value)
}

func (s *scanner) checkLength() *frontend.Problem {
	if len(s.value) > s.maxValue {
		return frontend.Invalid(s.name, "value_too_long", "A value of '%.60s' is longer than %d bytes.", s.name, s.maxValue)
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

// plainLength returns how many bytes of a string come before the next quote or escape.
func plainLength(data []byte) int {
	for i, c := range data {
		if c == '"' || c == '\\' {
			return i
		}
	}
	return len(data)
}

// endsScalar reports whether a byte ends a number or word.
func endsScalar(c byte) bool { return c == ',' || c == ']' || c == '}' || isSpace(c) }
