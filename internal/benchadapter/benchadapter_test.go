package benchadapter

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"testing"
)

const benchSettings = `{"group_size": 2, "tick": 4000000, "an_unknown_setting": {"x": [1]},
"domain": {"duty_by_kind": ["read", "write"], "kv_tokens": [200000, 140000], "token_aim": [50000000],
 "aim_us_per_1000_prompt_tokens": [40000.0], "let_go_by": 500000000},
"limits": {"send_cap": 4, "may_cancel": true, "retry_after": true, "max_retry_after": 1000000000},
"obligations": {"cold": 14000000000, "cold_from": 0.25, "fall": 2000000000, "fall_multiple": 2.5},
"request_classes": [{"aim": 1000000000, "deadline": 4000000000, "repeat": "read_like", "points": 2.0}]}`

// frame is one batch at a clock of a second; every record is filled up to its size, the tail goes last.
func frame(tail string, records ...string) string {
	var body bytes.Buffer
	binary.Write(&body, binary.LittleEndian, uint64(1e9))
	binary.Write(&body, binary.LittleEndian, uint32(len(records)))
	for _, r := range records {
		raw, err := hex.DecodeString(strings.ReplaceAll(r, " ", ""))
		if err != nil {
			panic(err)
		}
		body.Write(append(raw, make([]byte, eventSize-len(raw))...))
	}
	body.WriteString(tail)
	head := binary.LittleEndian.AppendUint32([]byte{7, 0, 0, 0}, uint32(body.Len()))
	return string(head) + body.String()
}

func u32hex(v int) string {
	return hex.EncodeToString(binary.LittleEndian.AppendUint32(nil, uint32(v)))
}

const (
	instance3 = "82 03000000"
	item      = "1e c4913a5d36710700 00009644 640ad2557c3bf091 00008043 00 107cf3d901648e2b 0000000000000000" +
		" 0065cd1d01000000 0000e144 0000 00"
)

func attach() string { return "0a 0100000000000000 00000000 " + u32hex(len(benchSettings)) }

// lists holds one reader (0x11) and one writer (0x22).
func lists() (inventory, sync, entries string) {
	raw, _ := hex.DecodeString("11000000" + "00000000" + "03" + "0000803f" + "0000000000000000" +
		"22000000" + "00010000" + "03" + "0000803f" + "0000000000000000")
	return "78 00 " + u32hex(len(benchSettings)) + u32hex(2), "14 0100000000000000 00 02", string(raw)
}

func TestAGenerationOnTheWire(t *testing.T) {
	inventory, sync, entries := lists()
	in := frame(benchSettings+entries, instance3, attach(), inventory, sync, item)
	in += frame("", instance3, "32 c4913a5d36710700 64000000 00 11000000 4d 40420f0000000000 0000")
	var out bytes.Buffer
	if err := Serve(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := hex.EncodeToString(out.Bytes())
	for _, want := range []string{
		"07000000", "a003000000", // the batch is answered, for instance 3
		"0ac4913a5d367107001100" + "0000", // sent to the reader
		"0ac4913a5d367107002200" + "0000", // then to the writer
	} {
		if !strings.Contains(got, want) {
			t.Errorf("no %s in %s", want, got)
		}
	}
	if strings.Count(got, "0ac4913a5d36710700") != 2 {
		t.Errorf("not two legs: %s", got)
	}
}

func TestBadFrames(t *testing.T) {
	whole := frame(benchSettings, instance3, attach())
	broken := strings.Replace(whole, `{"group_size"`, ` "group_size"`, 1)
	duty := strings.Replace(whole, `"read", "write"`, `"read", "wrote"`, 1)
	inventory, sync, entries := lists()
	outcome := "32 0100000000000000 00000000 00 11000000 63"
	ill := strings.Replace(entries, "\x03", "\x09", 1)
	many := strings.Replace(whole, "\x02\x00\x00\x00\x82", "\x99\x00\x00\x00\x82", 1)
	for name, c := range map[string]struct{ in, says string }{
		"cut in the header":     {whole[:5], "cut short in its header"},
		"cut in the body":       {whole[:40], "frame 7: cut short"},
		"impossible length":     {"\x07\x00\x00\x00\x02\x00\x00\x00zz", "impossible length 2"},
		"records past the end":  {many, "do not fit"},
		"unknown code":          {whole + frame("", instance3, "63"), "record 1 (code 99): unknown code"},
		"no instance":           {frame("", item), "before any instance"},
		"never started":         {frame("", "82 09000000", item), "instance 9 was never started"},
		"settings cut":          {broken, "not a JSON object"},
		"unknown duty":          {duty, `unknown duty "wrote"`},
		"tail past the frame":   {frame("", instance3, attach()), "past the frame"},
		"unknown outcome":       {whole + frame("", instance3, outcome), "unknown outcome 99"},
		"unknown condition":     {frame(benchSettings+ill, instance3, attach(), inventory, sync), "condition 9"},
		"list number too large": {frame("", "78 10 00000000 00000000"), "out of range"},
	} {
		err := Serve(strings.NewReader(c.in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), c.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", name, err, c.says)
		}
	}
}

func TestOddButLegal(t *testing.T) {
	in := frame(benchSettings, instance3, attach(),
		"32 0900000000000000 00000000 00 11000000 00", // an outcome for a generation never heard of
		"3c 0900000000000000", "46 6300000000000000", "28 0900000000000000 0000 11000000",
		"50 11000000 00", "6e", "5a", "14 0100000000000000 00 03", "64")
	if err := Serve(strings.NewReader(in), &bytes.Buffer{}); err != nil {
		t.Error(err)
	}
}
