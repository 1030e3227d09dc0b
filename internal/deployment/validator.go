package deployment

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// validator collects the errors of one text and knows the line of each field in it.
type validator struct {
	errors []FieldError
	lines  map[string]int // by the path of the field
}

// failAt reports an error of a field at a line.
func (v *validator) failAt(line int, path, format string, args ...any) {
	v.errors = append(v.errors, FieldError{line, path, fmt.Sprintf(format, args...)})
}

// fail reports an error of a field at the line of the field. If the text does not contain the field, it uses the line
// of the innermost enclosing message.
func (v *validator) fail(path, format string, args ...any) {
	for enclosing := path; ; {
		if line, known := v.lines[enclosing]; known {
			v.failAt(line, path, format, args...)
			return
		}
		dot := strings.LastIndexByte(enclosing, '.')
		if dot < 0 {
			v.failAt(1, path, format, args...)
			return
		}
		enclosing = enclosing[:dot]
	}
}

// checkNamesUnique checks that each of the count elements of a repeated field has a name, and that no two names are
// equal.
func (v *validator) checkNamesUnique(field string, count int, name func(int) string) {
	known := map[string]bool{}
	for i := range count {
		path := elementPath(field, i)
		switch s := name(i); {
		case s == "":
			v.fail(path, "must have a name")
		case known[s]:
			v.fail(path, "duplicate name %q", s)
		default:
			known[s] = true
		}
	}
}

// checkPositive checks that the fields of the message at path are finite and above 0. fields maps their names to
// values.
func (v *validator) checkPositive(path string, fields map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if value := fields[name]; !(value > 0) || math.IsInf(value, 0) {
			v.fail(path+"."+name, "must be above 0")
		}
	}
}

func (v *validator) checkShare(path string, value float64) {
	if !(value >= 0 && value <= 1) {
		v.fail(path, "must be a share from 0 to 1, not %v", value)
	}
}

// elementPath returns the path of an element of a repeated field.
func elementPath(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }
