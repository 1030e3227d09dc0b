package embeddings

import (
	"strings"

	"github.com/tidwall/gjson"

	"plumspindle/internal/frontend"
)

// scanner reads one JSON object as its bytes come, however they are cut: small members whole, and the elements of lists one
// by one, so that a body that is far larger than what may be kept at once is taken all the same. After RFC 8259; each value
// is checked whole before it is told of.
type scanner struct {
	lists   []string // members whose elements are told one by one
	most    int      // bytes of one value
	member  func(name string, raw []byte) *frontend.Problem
	element func(name string, raw []byte) *frontend.Problem

	state  scanState
	name   string
	seen   map[string]bool
	value  []byte
	kind   byte // of the value that is being read: '"', '{' or '0' for a number or word
	depth  int
	text   bool // inside a string of it
	escape bool
	inList bool
	some   bool // an element, or a member, has come
}

type scanState uint8

const (
	wantObject scanState = iota
	wantName             // or the end of the object
	inName
	wantColon
	wantValue
	inValue
	wantComma // or the end of the list or object
	wantEnd
)

var notJSON = frontend.Invalid("", "invalid_json", "The body is not valid JSON.")

func space(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

// feed takes the next bytes. It may be called again after a problem, and then does nothing.
func (s *scanner) feed(b []byte) *frontend.Problem {
	for i := 0; i < len(b); i++ {
		c := b[i]
		if s.state != inValue && s.state != inName && space(c) {
			continue
		}
		switch s.state {
		case wantObject:
			if c != '{' {
				return frontend.Invalid("", "invalid_json", "The body must be a JSON object.")
			}
			s.state = wantName
		case wantName:
			switch {
			case c == '"':
				s.state, s.value, s.text, s.escape = inName, append(s.value[:0], c), true, false
			case c == '}' && !s.some:
				s.state = wantEnd
			default:
				return notJSON
			}
		case inName:
			if s.value = append(s.value, c); len(s.value) > 256 {
				return frontend.Invalid("", "invalid_json", "The name of a parameter is too long.")
			}
			if !s.string(c) {
				continue
			}
			if !gjson.ValidBytes(s.value) {
				return notJSON
			}
			s.name, s.state, s.some = gjson.ParseBytes(s.value).String(), wantColon, true
			if s.seen[s.name] {
				return frontend.Invalid(s.name, "duplicate_parameter", "The parameter %q is given twice.", s.name)
			}
			if s.seen == nil {
				s.seen = map[string]bool{}
			}
			s.seen[s.name] = true
		case wantColon:
			if c != ':' {
				return notJSON
			}
			s.state = wantValue
		case wantValue:
			if p := s.begin(c); p != nil {
				return p
			}
		case inValue:
			// A stretch of a string's plain bytes is taken at once; that is nearly all of a large body.
			if s.text && !s.escape {
				n := i
				for n < len(b) && b[n] != '"' && b[n] != '\\' {
					n++
				}
				s.value = append(s.value, b[i:n]...)
				if i = n; i == len(b) {
					if len(s.value) > s.most {
						return s.tooLong()
					}
					return nil
				}
				c = b[i]
			}
			again, p := s.within(c)
			if p != nil {
				return p
			}
			if again {
				i--
			}
		case wantComma:
			switch {
			case c == ',' && s.inList:
				s.state = wantValue
			case c == ',':
				s.state = wantName
				s.some = true
			case c == ']' && s.inList:
				s.inList = false
			case c == '}' && !s.inList:
				s.state = wantEnd
			default:
				return notJSON
			}
		case wantEnd:
			return notJSON
		}
	}
	return nil
}

// string takes one byte of a string and tells whether it is the last.
func (s *scanner) string(c byte) bool {
	switch {
	case s.escape:
		s.escape = false
	case c == '\\':
		s.escape = true
	case c == '"' && len(s.value) > 1:
		s.text = false
		return true
	}
	return false
}

func (s *scanner) begin(c byte) *frontend.Problem {
	listed := false
	for _, l := range s.lists {
		listed = listed || l == s.name
	}
	switch {
	case c == '[' && listed && !s.inList:
		s.inList, s.state, s.kind = true, wantValue, '['
		return nil
	case c == ']' && s.inList && s.kind == '[': // an empty list
		s.inList, s.state = false, wantComma
		return nil
	case c == ',' || c == ']' || c == '}' || c == ':':
		return notJSON
	}
	s.value, s.depth, s.text, s.escape, s.state, s.kind = append(s.value[:0], c), 0, false, false, inValue, '0'
	switch c {
	case '"':
		s.kind, s.text = '"', true
	case '{', '[':
		s.kind, s.depth = '{', 1
	}
	return nil
}

// within takes one byte of a value; again means that the byte is not the value's.
func (s *scanner) within(c byte) (again bool, p *frontend.Problem) {
	if s.kind == '0' && (c == ',' || c == ']' || c == '}' || space(c)) {
		return true, s.end()
	}
	if s.value = append(s.value, c); len(s.value) > s.most {
		return false, s.tooLong()
	}
	if s.text {
		if s.string(c) && s.kind == '"' {
			return false, s.end()
		}
		return false, nil
	}
	switch c {
	case '"':
		s.text = true
	case '{', '[':
		s.depth++
	case '}', ']':
		if s.depth--; s.depth == 0 && s.kind == '{' {
			return false, s.end()
		}
	}
	return false, nil
}

func (s *scanner) tooLong() *frontend.Problem {
	return frontend.Invalid(s.name, "value_too_long", "A value of '%.60s' is longer than %d bytes.", s.name, s.most)
}

// end tells of a whole value.
func (s *scanner) end() *frontend.Problem {
	if !gjson.ValidBytes(s.value) {
		return notJSON
	}
	s.state = wantComma
	if s.inList {
		return s.element(s.name, s.value)
	}
	return s.member(s.name, s.value)
}

// close tells that the body has ended.
func (s *scanner) close() *frontend.Problem {
	if s.state != wantEnd {
		return notJSON
	}
	return nil
}

// quoteLess is a JSON string's text.
func quoteLess(raw []byte) string {
	return strings.ToValidUTF8(gjson.ParseBytes(raw).String(), "\uFFFD")
}
