package tenancy

import (
	"fmt"
	"net/http"
)

// ErrorCode is the machine-readable kind of a ChangeError. It is part of the administration's API.
type ErrorCode string

// Codes of a ChangeError.
const (
	CodeInvalidName     ErrorCode = "invalid_name"
	CodeInvalidLimit    ErrorCode = "invalid_limit"
	CodeInvalidPolicy   ErrorCode = "invalid_policy"
	CodeInvalidScope    ErrorCode = "invalid_scope"
	CodeInvalidExpiry   ErrorCode = "invalid_expiry"
	CodeNameReserved    ErrorCode = "name_resting" // the name belonged to a tenant that was removed recently
	CodeExists          ErrorCode = "exists"
	CodeNoTenant        ErrorCode = "no_tenant"
	CodeNoKey           ErrorCode = "no_key"
	CodeVersionMismatch ErrorCode = "changed_meanwhile"
	CodeRemoved         ErrorCode = "removed"
	CodeNoRandom        ErrorCode = "no_random"
)

// ChangeError is the reason why a change of the registry is rejected. errors.Is matches two of them if their codes are
// equal.
type ChangeError struct {
	Status int // status code of the HTTP response
	Code   ErrorCode
	Field  string // name of the invalid field of the request; may be empty
	Reason string // human-readable
}

// Error returns the reason.
func (e *ChangeError) Error() string { return e.Reason }

// Is reports whether target is a ChangeError with the same code.
func (e *ChangeError) Is(target error) bool {
	other, ok := target.(*ChangeError)
	return ok && other.Code == e.Code
}

func invalid(code ErrorCode, field, format string, args ...any) *ChangeError {
	return &ChangeError{http.StatusUnprocessableEntity, code, field, fmt.Sprintf(format, args...)}
}

func conflict(code ErrorCode, field, format string, args ...any) *ChangeError {
	return &ChangeError{http.StatusConflict, code, field, fmt.Sprintf(format, args...)}
}

func notFound(code ErrorCode, format string, args ...any) *ChangeError {
	return &ChangeError{http.StatusNotFound, code, "", fmt.Sprintf(format, args...)}
}
