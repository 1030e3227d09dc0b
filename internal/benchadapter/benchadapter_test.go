package benchadapter

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strings"
	"testing"

	"plumspindle/scheduler"
)

const benchSettings = `{"group_size": 2, "tick": 4000000, "an_unknown_setting": {"x": [1]},
"domain": {"duty_by_kind": ["read", "write"], "kv_tokens": [200000, 140000], "token_aim": [50000000],
 "aim_us_per_1000_prompt_tokens": [40000.0], "let_go_by": 500000000},
"limits": {"send_cap": 4, "may_cancel": true, "retry_after": true, "max_retry_after": 1000000000},
"obligations": {"cold": 14000000000, "cold_from": 0.25, "fall": 2000000000, "fall_multiple": 2.5},
"request_classes": [{"aim": 1000000000, "deadline": 4000000000, "repeat": "read_like", "points": 2.0}]}`

// frame returns a frame of events, given in hexadecimal, at a time of one second. Each event is padded to its full
// size, and the tail follows the events.
func frame(t *testing.T, tail string, events ...string) string {
	t.Helper()
	body := binary.LittleEndian.AppendUint64(nil, 1e9)
	body = binary.LittleEndian.AppendUint32(body, uint32(len(events)))
	for _, event := range events {
		raw, err := hex.DecodeString(strings.ReplaceAll(event, " ", ""))
		if err != nil {
			t.Fatal(err)
		}
		body = append(append(body, raw...), make([]byte, eventSize-len(raw))...)
	}
	body = append(body, tail...)
	header := binary.LittleEndian.AppendUint32([]byte{7, 0, 0, 0}, uint32(len(body)))
	return string(header) + string(body)
}

// hex32 returns a 32-bit number as on the wire, in hexadecimal.
func hex32(v int) string {
	return hex.EncodeToString(binary.LittleEndian.AppendUint32(nil, uint32(v)))
}

const (
	instance3 = "82 03000000"
	request   = "1e c4913a5d36710700 00009644 640ad2557c3bf091 00008043 00 107cf3d901648e2b 0000000000000000" +
		" 0065cd1d01000000 0000e144 0000 00"
)

// attach returns an event that starts an instance with benchSettings. The frame's tail must begin with benchSettings.
func attach() string { return "0a 0100000000000000 00000000 " + hex32(len(benchSettings)) }

// lists returns an event that stores an endpoint list, an event that passes it to the instance, and the entries of the
// list: a prefill endpoint (0x11) and a decode endpoint (0x22). In the frame's tail the entries follow benchSettings.
func lists() (list, update, entries string) {
	raw, _ := hex.DecodeString("11000000" + "00000000" + "03" + "0000803f" + "0000000000000000" +
		"22000000" + "00010000" + "03" + "0000803f" + "0000000000000000")
	return "78 00 " + hex32(len(benchSettings)) + hex32(2), "14 0100000000000000 00 02", string(raw)
}

func TestRequestIsPrefilledThenDecoded(t *testing.T) {
	list, update, entries := lists()
	prefillDone := "32 c4913a5d36710700 64000000 00 11000000 4d 40420f0000000000 0000"
	in := frame(t, benchSettings+entries, instance3, attach(), list, update, request) +
		frame(t, "", instance3, prefillDone)
	var out bytes.Buffer
	if err := Serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := hex.EncodeToString(out.Bytes())
	for _, want := range []string{
		"07000000", "a003000000", // the frame's sequence number, and the action that selects instance 3
		"0ac4913a5d367107001100" + "0000", // sent to the prefill endpoint
		"0ac4913a5d367107002200" + "0000", // then to the decode endpoint
	} {
		if !strings.Contains(got, want) {
			t.Errorf("replies do not contain %s: %s", want, got)
		}
	}
	if strings.Count(got, "0ac4913a5d36710700") != 2 {
		t.Errorf("want two attempts: %s", got)
	}
}

func TestBrokenFramesEndWithAnErrorOfOneLine(t *testing.T) {
	whole := frame(t, benchSettings, instance3, attach())
	noJSON := strings.Replace(whole, `{"group_size"`, ` "group_size"`, 1)
	unknownDuty := strings.Replace(whole, `"read", "write"`, `"read", "wrote"`, 1)
	list, update, entries := lists()
	unknownOutcome := "32 0100000000000000 00000000 00 11000000 63"
	unknownState := benchSettings + strings.Replace(entries, "\x03", "\x09", 1)
	tooMany := strings.Replace(whole, "\x02\x00\x00\x00\x82", "\x99\x00\x00\x00\x82", 1)
	var unknownValue *UnknownValueError
	for name, test := range map[string]struct {
		in, want string
		is       error // nil if the error comes from another package
	}{
		"truncated header":      {whole[:5], "frame 0: truncated header", ErrHeaderTruncated},
		"truncated body":        {whole[:40], "frame 7: truncated body", ErrBodyTruncated},
		"invalid length":        {"\x07\x00\x00\x00\x02\x00\x00\x00zz", "invalid length 2", ErrFrameLength},
		"too many records":      {tooMany, "exceed the frame: 153 records", ErrRecordsOverflow},
		"unknown code":          {whole + frame(t, "", instance3, "63"), "record 1 (code 99): unknown code", ErrUnknownCode},
		"no instance selected":  {frame(t, "", request), "no instance is selected", ErrNoInstance},
		"unknown instance":      {frame(t, "", "82 09000000", request), "unknown instance 9", ErrUnknownInstance},
		"settings not JSON":     {noJSON, "not a JSON object", nil},
		"unknown duty":          {unknownDuty, `unknown duty "wrote"`, nil},
		"tail field too large":  {frame(t, "", instance3, attach()), "tail field exceeds the frame", ErrTailOverflow},
		"unknown outcome":       {whole + frame(t, "", instance3, unknownOutcome), "unknown outcome 99", nil},
		"unknown condition":     {frame(t, unknownState, instance3, attach(), list, update), "condition 9", nil},
		"list number too large": {frame(t, "", "78 10 00000000 00000000"), "out of range", ErrOutOfRange},
	} {
		err := Serve(strings.NewReader(test.in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line containing %q", name, err, test.want)
		}
		var frameError *FrameError
		if !errors.As(err, &frameError) || test.is != nil && !errors.Is(err, test.is) {
			t.Errorf("%s: error %v, want a FrameError that wraps %v", name, err, test.is)
		}
		if unknown := strings.Contains(test.want, "condition") || strings.Contains(test.want, "outcome"); unknown {
			if !errors.As(err, &unknownValue) {
				t.Errorf("%s: error %v, want an UnknownValueError", name, err)
			}
		}
	}
}

func TestUnknownIDsAndUnusedEventsAreAccepted(t *testing.T) {
	in := frame(t, benchSettings, instance3, attach(),
		"32 0900000000000000 00000000 00 11000000 00", // an attempt of an unknown request ended
		"3c 0900000000000000", "46 6300000000000000", "28 0900000000000000 0000 11000000",
		"50 11000000 00", "6e", "5a", "14 0100000000000000 00 03", "64")
	if err := Serve(strings.NewReader(in), &bytes.Buffer{}); err != nil {
		t.Error(err)
	}
}

func TestEventsAreLoggedAsText(t *testing.T) {
	a := &adapter{}
	in := &instance{adapter: a, id: 3}
	in.Log(scheduler.EndpointEjected{Endpoint: 5, Reason: scheduler.AttemptFailed, For: 400_000})
	in.Log(scheduler.SendBlocked{Request: 9, Endpoint: 5, Rule: scheduler.EndpointReady})
	want := "endpoint 5 ejected for 400 ms: attempt failed" +
		"send of request 9 to endpoint 5 blocked by guard: endpoint not ready"
	if string(a.text) != want {
		t.Errorf("text %q, want %q", a.text, want)
	}
	last := record(a.actions[len(a.actions)-actionSize:])
	if last.code() != actionLog || last.uint32(logOffset) != 45 || last.uint32(logLength) != 68 {
		t.Errorf("last action is %x, want a log action with the second text", []byte(last))
	}
}
