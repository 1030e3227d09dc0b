package frontend

import (
	"net/http"

	"fmt"
)

// Invalid returns the problem of a request with an invalid parameter.
func Invalid(param, code, format string, args ...any) *Problem {
	return &Problem{
		Status:  http.StatusBadRequest,
		Type:    typeInvalidRequest,
		Param:   param,
		Code:    code,
		Message: fmt.Sprintf(format, args...),
	}
}

// InvalidJSON returns the problem of a body that is not JSON.
func InvalidJSON() *Problem {
	return Invalid("", "invalid_json", "The body is not valid JSON.")
}

// NotAnObject returns the problem of a body that is JSON but not an object.
func NotAnObject() *Problem {
	return Invalid("", "invalid_json", "The body must be a JSON object.")
}

// DuplicateParameter returns the problem of a parameter that is given twice.
func DuplicateParameter(name string) *Problem {
	return Invalid(name, "duplicate_parameter", "The parameter %q is given twice.", name)
}

// MissingParameter returns the problem of a parameter that is required and not given.
func MissingParameter(name string) *Problem {
	return Invalid(name, "missing_required_parameter", "Missing required parameter: '%s'.", name)
}

// UnknownParameter returns the problem of a parameter that the API does not know.
func UnknownParameter(name string) *Problem {
	return Invalid(name, "unknown_parameter", "Unknown parameter: '%.*s'.", maxEchoedNameBytes, name)
}

// WrongType returns the problem of a parameter whose type is not the expected one.
func WrongType(name, want, got string) *Problem {
	return Invalid(name, "invalid_type", "Invalid type for '%s': expected %s, but got %s instead.", name, want, got)
}

// BelowOne returns the problem of a number that must be at least 1.
func BelowOne(name string) *Problem {
	return Invalid(name, "integer_below_min_value", "Invalid '%s': expected a value >= 1.", name)
}

// EmptyArray returns the problem of a list without elements.
func EmptyArray(name string) *Problem {
	return Invalid(name, "empty_array", "Invalid '%s': empty array.", name)
}
