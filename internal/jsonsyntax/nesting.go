package jsonsyntax

const wordBits = 64

// nesting is a stack of the arrays and objects that are open. Its zero value is empty.
type nesting struct {
	depth   int
	objects []uint64 // a bit for each open array or object, the outermost first; it is set for an object
}

// push opens an object or an array.
func (n *nesting) push(object bool) {
	word, bit := n.depth/wordBits, uint64(1)<<(n.depth%wordBits)
	if word == len(n.objects) {
		n.objects = append(n.objects, 0)
	}
	if object {
		n.objects[word] |= bit
	} else {
		n.objects[word] &^= bit
	}
	n.depth++
}

// pop closes the innermost array or object.
func (n *nesting) pop() { n.depth-- }

// inObject reports whether the innermost one that is open is an object.
func (n *nesting) inObject() bool {
	last := n.depth - 1
	return n.objects[last/wordBits]&(1<<(last%wordBits)) != 0
}

// afterElement reads the byte c that follows an element of the innermost array or object. It returns what has to come
// next.
func (n *nesting) afterElement(c byte) (next token, ok bool) {
	object := n.inObject()
	switch {
	case c == ',' && object:
		return name, true
	case c == ',':
		return value, true
	case c == '}' && object, c == ']' && !object:
		n.pop()
		return end, true
	}
	return end, false
}
