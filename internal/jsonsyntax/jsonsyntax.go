// Package jsonsyntax validates JSON (RFC 8259) that other processes have sent. It does no I/O and keeps no state.
//
// The validators of gjson and encoding/json are not used for this. gjson.Valid calls itself for each nested array and
// object, so text that consists of opening brackets grows the goroutine's stack to more than a hundred times the size
// of the text, and validating it takes milliseconds. json.Valid is several times slower on ordinary texts.
package jsonsyntax

// Valid reports whether data is valid JSON. It takes time in proportion to the size of data, and memory of one bit for
// each array or object that is open at the same time.
func Valid(data []byte) bool {
	var open nesting
	expected := value
	for at := 0; at < len(data); {
		c := data[at]
		at++
		if isSpace(c) {
			continue
		}
		mayBeValue := expected == value || expected == firstValue
		ok := true
		switch {
		case expected == end && open.depth > 0:
			expected, ok = open.afterElement(c)
		case mayBeValue && c == '[':
			open.push(false)
			expected = firstValue
		case mayBeValue && c == '{':
			open.push(true)
			expected = firstName
		case expected == firstValue && c == ']', expected == firstName && c == '}':
			open.pop()
			expected = end
		case mayBeValue:
			at, ok = endOfScalar(data, at-1)
			expected = end
		case c == '"' && (expected == name || expected == firstName):
			at, ok = endOfString(data, at)
			expected = colon
		case c == ':' && expected == colon:
			expected = value
		default:
			return false
		}
		if !ok {
			return false
		}
	}
	return expected == end && open.depth == 0
}

// token is what has to come next, white space aside.
type token uint8

const (
	value      token = iota
	firstValue       // a value, or the end of an empty array
	name             // the name of an object's member
	firstName        // a name, or the end of an empty object
	colon
	end // a comma or the end of the array or object, or the end of the text
)

// endOfScalar returns the index behind a string, number or literal, which has to begin at an index.
func endOfScalar(data []byte, at int) (after int, ok bool) {
	switch data[at] {
	case '"':
		return endOfString(data, at+1)
	case 't':
		return endOfLiteral(data, at, "true")
	case 'f':
		return endOfLiteral(data, at, "false")
	case 'n':
		return endOfLiteral(data, at, "null")
	}
	return endOfNumber(data, at)
}

// endOfString returns the index behind a string, whose first byte behind the opening quote is at an index.
func endOfString(data []byte, at int) (after int, ok bool) {
	for at < len(data) {
		c := data[at]
		at++
		switch {
		case c == '"':
			return at, true
		case c < ' ':
			return 0, false
		case c == '\\':
			if at, ok = endOfEscape(data, at); !ok {
				return 0, false
			}
		}
	}
	return 0, false
}

// endOfEscape returns the index behind an escape sequence, whose first byte behind the backslash is at an index.
func endOfEscape(data []byte, at int) (after int, ok bool) {
	const hexDigits = 4
	if at == len(data) {
		return 0, false
	}
	switch data[at] {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		return at + 1, true
	case 'u':
		after = at + 1 + hexDigits
		if after > len(data) {
			return 0, false
		}
		for _, c := range data[at+1 : after] {
			if !isHex(c) {
				return 0, false
			}
		}
		return after, true
	}
	return 0, false
}

// endOfLiteral returns the index behind a literal such as true, which has to begin at an index.
func endOfLiteral(data []byte, at int, literal string) (after int, ok bool) {
	after = at + len(literal)
	return after, after <= len(data) && string(data[at:after]) == literal
}

// endOfNumber returns the index behind a number, which has to begin at an index.
func endOfNumber(data []byte, at int) (after int, ok bool) {
	if data[at] == '-' {
		at++
	}
	if at < len(data) && data[at] == '0' { // no digit may follow a leading zero
		at++
	} else if at, ok = endOfDigits(data, at); !ok {
		return 0, false
	}
	if at < len(data) && data[at] == '.' {
		if at, ok = endOfDigits(data, at+1); !ok {
			return 0, false
		}
	}
	if at == len(data) || data[at] != 'e' && data[at] != 'E' {
		return at, true
	}
	at++
	if at < len(data) && (data[at] == '+' || data[at] == '-') {
		at++
	}
	return endOfDigits(data, at)
}

// endOfDigits returns the index behind one or more digits.
func endOfDigits(data []byte, at int) (after int, ok bool) {
	after = at
	for after < len(data) && isDigit(data[after]) {
		after++
	}
	return after, after > at
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isHex(c byte) bool { return isDigit(c) || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F' }
