package deployment

import (
	"fmt"
	"strings"
)

// FieldError is one error in a text.
type FieldError struct {
	Line   int
	Field  string
	Reason string
}

func (e FieldError) Error() string { return fmt.Sprintf("%d: %s: %s", e.Line, e.Field, e.Reason) }

// InvalidError holds all errors of one text.
type InvalidError struct {
	Name   string // of the text, such as its path
	Fields []FieldError
}

// Error returns a line for each error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, field := range e.Fields {
		lines[i] = e.Name + ":" + field.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single errors.
func (e *InvalidError) Unwrap() []error {
	all := make([]error, len(e.Fields))
	for i, field := range e.Fields {
		all[i] = field
	}
	return all
}
