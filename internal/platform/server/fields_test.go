package server

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"plumspindle/internal/http1"
)

func TestEndToEndFields(t *testing.T) {
	head := &http1.Head{Fields: []http1.Field{
		{Name: "Host", Value: "h"}, {Name: "req-ID", Value: "7"}, {Name: "Connection", Value: " X-Hop ,,close,req-id"},
		{Name: "x-hop", Value: "1"}, {Name: "Idempotency-Key", Value: "k"}, {Name: "REQ-DEADLINE", Value: "4m"},
		{Name: "X-Note", Value: "a"}, {Name: "x-note", Value: "b"}, {Name: "Close", Value: "c"},
	}}
	want := []string{"req-ID", "7", "Idempotency-Key", "k", "X-Note", "a", "x-note", "b"}
	if got := endToEndFields(head); !slices.Equal(got, want) {
		t.Errorf("%q, want %q", got, want)
	}
}

// parsingTime returns the shortest of several times that parseRequest takes for a well-formed head with the given
// numbers of fields and of options of the field Connection.
func parsingTime(t *testing.T, fieldCount, optionCount int) time.Duration {
	t.Helper()
	head := &http1.Head{Method: "POST", Target: chatPath, MinorVersion: 1, Fields: []http1.Field{
		{Name: idField, Value: "7"}, {Name: classField, Value: "k"}, {Name: deadlineField, Value: "4000m"},
		{Name: "Connection", Value: strings.Repeat("x,", optionCount)},
	}}
	for i := range fieldCount {
		head.Fields = append(head.Fields, http1.Field{Name: "X-Field-" + strconv.Itoa(i), Value: "v"})
	}
	const repetitions = 5
	shortest := time.Hour
	for range repetitions {
		start := time.Now()
		if _, rejection := parseRequest(head); rejection != nil {
			t.Fatal(rejection.Reason)
		}
		shortest = min(shortest, time.Since(start))
	}
	return shortest
}

// A head with many fields and a long field Connection took the event loop some milliseconds, because each field was
// compared with each option. The requests of all other clients waited for that.
func TestHeadWithLongConnectionFieldIsParsedInLinearTime(t *testing.T) {
	const fieldCount, optionCount, tolerance = 1000, 20000, 8
	separate := parsingTime(t, fieldCount, 1) + parsingTime(t, 1, optionCount)
	if both := parsingTime(t, fieldCount, optionCount); both > tolerance*separate {
		t.Errorf("%v with %d fields and %d options together, %v with either", both, fieldCount, optionCount, separate)
	}
}
