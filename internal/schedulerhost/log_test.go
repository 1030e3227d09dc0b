package schedulerhost

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"plumspindle/scheduler"
)

func TestWriteLogsEachEventWithItsKeys(t *testing.T) {
	for _, test := range []struct {
		event scheduler.Event
		want  string
	}{
		{scheduler.EndpointEjected{Endpoint: 7, Reason: scheduler.AttemptFailed, For: 400_000},
			`{"level":"info","endpoint":7,"reason":"attempt failed","for":400,"message":"endpoint ejected"}`},
		{scheduler.SendBlocked{Request: 9, Endpoint: 7, Rule: scheduler.EndpointReady},
			`{"level":"error","request_id":9,"endpoint":7,"reason":"endpoint not ready","message":"send blocked by guard"}`},
	} {
		var out bytes.Buffer
		log := zerolog.New(&out)
		WriteLog(&log, test.event)
		if got := strings.TrimSpace(out.String()); got != test.want {
			t.Errorf("%T: logged %s, want %s", test.event, got, test.want)
		}
	}
}
