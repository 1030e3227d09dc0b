package frontend

import (
	"net/http"
	"testing"
)

// TestProblemsKeepTheirWireForm checks error bodies byte for byte, because clients and their libraries depend on the
// bodies.
func TestProblemsKeepTheirWireForm(t *testing.T) {
	for name, test := range map[string]struct {
		problem *Problem
		status  int
		noRetry bool
		body    string
	}{
		"overloaded": {
			problem: Overloaded(),
			status:  http.StatusTooManyRequests,
			body: `{"error":{"code":"throttled","message":"The service is busy; nothing was run. Please try again.",` +
				`"param":null,"type":"rate_limit_error"}}`,
		},
		"overloaded after a partial run": {
			problem: OverloadedAfterPartialRun(),
			status:  http.StatusTooManyRequests,
			body: `{"error":{"code":"throttled","message":"The service is busy. Please try again.",` +
				`"param":null,"type":"rate_limit_error"}}`,
		},
		"tenant suspended": {
			problem: TenantSuspended(),
			status:  http.StatusForbidden,
			noRetry: true,
			body: `{"error":{"code":"tenant_suspended","message":"This account is suspended.",` +
				`"param":null,"type":"permission_error"}}`,
		},
		"prompt too large": {
			problem: PromptTooLarge("input", "100% of an input is too large."),
			status:  http.StatusBadRequest,
			body: `{"error":{"code":"prompt_too_large","message":"100% of an input is too large.",` +
				`"param":"input","type":"invalid_request_error"}}`,
		},
		"input not served": {
			problem: InputNotServed("documents[3]"),
			status:  http.StatusUnprocessableEntity,
			noRetry: true,
			body: `{"error":{"code":"input_not_served","message":"'documents[3]' could not be read; the others could.",` +
				`"param":"documents[3]","type":"invalid_request_error"}}`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			if body := string(test.problem.Body()); body != test.body {
				t.Errorf("body %s, want %s", body, test.body)
			}
			if test.problem.Status != test.status || test.problem.NoRetry != test.noRetry {
				t.Errorf("status %d, no retry %v; want %d, %v",
					test.problem.Status, test.problem.NoRetry, test.status, test.noRetry)
			}
		})
	}
}
