package server

import (
	"strings"

	"plumspindle/internal/http1"
)

// hopByHop are the lower-case names of the fields that are not forwarded: those that concern only this connection or
// how the body is sent on it, and those that the dispatcher writes itself.
var hopByHop = map[string]bool{
	"connection":                   true,
	"content-length":               true,
	"expect":                       true,
	"host":                         true,
	"keep-alive":                   true,
	"proxy-authenticate":           true,
	"proxy-authorization":          true,
	"proxy-connection":             true,
	"te":                           true,
	"trailer":                      true,
	"transfer-encoding":            true,
	"upgrade":                      true,
	strings.ToLower(deadlineField): true,
}

// endToEndFields returns the fields that are forwarded unchanged, as alternating names and values. They include
// Idempotency-Key, by which endpoints drop duplicates. They always include Req-Id, even if the field Connection names
// Req-Id. The work grows with the size of the head, not with the number of fields times the options of Connection.
func endToEndFields(head *http1.Head) (fields []string) {
	names := make([]string, len(head.Fields)) // in lower case
	named := make(map[string]bool, len(head.Fields))
	for i, f := range head.Fields {
		names[i] = strings.ToLower(f.Name)
		named[names[i]] = false
	}
	var lower []byte // reused, because there may be thousands of options
	for option := range strings.SplitSeq(head.Get("Connection"), ",") {
		lower = appendLower(lower[:0], strings.TrimSpace(option))
		if _, present := named[string(lower)]; present {
			named[string(lower)] = true
		}
	}
	named[strings.ToLower(idField)] = false
	for i, f := range head.Fields {
		if !hopByHop[names[i]] && !named[names[i]] {
			fields = append(fields, f.Name, f.Value)
		}
	}
	return fields
}

// appendLower appends an ASCII string in lower case to b.
func appendLower(b []byte, text string) []byte {
	for i := range len(text) {
		c := text[i]
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		b = append(b, c)
	}
	return b
}
