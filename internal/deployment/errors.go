package deployment

import (
	"fmt"
	"strings"
)

// FieldError is an error in one field of a text.
type FieldError struct {
	Line   int
	Field  string // path of the field, such as "products[1].slo_ms"
	Reason string
}

// Error returns the line, the field and the reason.
func (e FieldError) Error() string { return fmt.Sprintf("%d: %s: %s", e.Line, e.Field, e.Reason) }

// InvalidError holds all errors of one text.
type InvalidError struct {
	Name   string // of the text, such as the path of its file
	Fields []FieldError
}

// Error returns one line of text for each error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, field := range e.Fields {
		lines[i] = e.Name + ":" + field.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual errors.
func (e *InvalidError) Unwrap() []error {
	fieldErrors := make([]error, len(e.Fields))
	for i, field := range e.Fields {
		fieldErrors[i] = field
	}
	return fieldErrors
}
