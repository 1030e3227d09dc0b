package deployment

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// validator collects the errors of one text and has the line of each field in it.
type validator struct {
	errors []FieldError
	lines  map[string]int // by the field's path
}

func (v *validator) failAt(line int, path, format string, args ...any) {
	v.errors = append(v.errors, FieldError{line, path, fmt.Sprintf(format, args...)})
}

// fail reports an error of a field. If the text does not have the field, the line is that of the innermost message
// around it.
func (v *validator) fail(path, format string, args ...any) {
	for around := path; ; {
		if line, known := v.lines[around]; known {
			v.failAt(line, path, format, args...)
			return
		}
		dot := strings.LastIndexByte(around, '.')
		if dot < 0 {
			v.failAt(1, path, format, args...)
			return
		}
		around = around[:dot]
	}
}

// unique checks that the n elements of a repeated field have names, all of them different.
func (v *validator) unique(field string, n int, name func(int) string) {
	known := map[string]bool{}
	for i := range n {
		path := index(field, i)
		switch s := name(i); {
		case s == "":
			v.fail(path, "has no name")
		case known[s]:
			v.fail(path, "the name %q is taken", s)
		default:
			known[s] = true
		}
	}
}

// positive checks that fields of one message, by their names, are finite and above 0.
func (v *validator) positive(path string, fields map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if value := fields[name]; !(value > 0) || math.IsInf(value, 0) {
			v.fail(path+"."+name, "must be above 0")
		}
	}
}

func (v *validator) share(path string, value float64) {
	if !(value >= 0 && value <= 1) {
		v.fail(path, "must be a share from 0 to 1, not %v", value)
	}
}

// index is the path of one element of a repeated field.
func index(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }
