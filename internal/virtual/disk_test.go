package virtual

import (
	"errors"
	"testing"

	"plumspindle/internal/eventloop"
)

// appendResult is the result of one Append: the content of the file afterwards, whether done was called, and with which
// error.
type appendResult struct {
	content string
	done    bool
	err     error
}

// appendTo appends a text to a file, and waits for the result for a duration at most.
func appendTo(t *testing.T, n *Network, d *Disk, text string, duration eventloop.Micros) appendResult {
	t.Helper()
	var result appendResult
	d.Append("file", []byte(text), func(err error) { result.done, result.err = true, err })
	n.RunUntil(duration, func() bool { return result.done })
	content, err := d.Read("file")
	if err != nil && !errors.Is(err, errNoSuchFile) {
		t.Fatal(err)
	}
	result.content = string(content)
	return result
}

func TestDiskAppends(t *testing.T) {
	failure := errors.New("input/output error")
	for _, test := range []struct {
		name string
		set  func(d *Disk)
		want appendResult
	}{
		{"healthy", func(*Disk) {}, appendResult{"text", true, nil}},
		{"slower than the caller waits", func(d *Disk) { d.SyncTime = eventloop.Second }, appendResult{}},
		{"failing", func(d *Disk) { d.Failure = failure }, appendResult{"", true, failure}},
		{"with too little capacity", func(d *Disk) { d.Capacity = 3 }, appendResult{"tex", true, ErrDiskFull}},
		{"with just enough capacity", func(d *Disk) { d.Capacity = 4 }, appendResult{"text", true, nil}},
		{"acknowledging early", func(d *Disk) { d.AcknowledgesEarly = true }, appendResult{"", true, nil}},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := NewNetwork(1)
			d := n.NewDisk().AttachTo(n.NewLoop("process"))
			test.set(d)
			if got := appendTo(t, n, d, "text", 100*eventloop.Millisecond); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// TestDiskThatAcknowledgesEarlyLosesWhatAKilledProcessWrote checks that a write is lost if the process is killed after
// the acknowledgement but before the write is durable, and a new process gets the disk.
func TestDiskThatAcknowledgesEarlyLosesWhatAKilledProcessWrote(t *testing.T) {
	for _, test := range []struct {
		name   string
		killAt eventloop.Micros
		want   string
	}{
		{"before it is durable", 400 * eventloop.Millisecond, ""},
		{"after it is durable", 600 * eventloop.Millisecond, "text"},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := NewNetwork(1)
			process := n.NewLoop("process")
			d := n.NewDisk().AttachTo(process)
			d.AcknowledgesEarly = true
			if got := appendTo(t, n, d, "text", eventloop.Millisecond); !got.done || got.err != nil {
				t.Fatalf("not acknowledged: %+v", got)
			}
			n.Run(test.killAt)
			process.Kill()
			d.AttachTo(n.NewLoop("its successor"))
			n.Run(eventloop.Second)
			content, err := d.Read("file")
			if err != nil && !errors.Is(err, errNoSuchFile) {
				t.Fatal(err)
			}
			if string(content) != test.want {
				t.Errorf("the file has %q, want %q", content, test.want)
			}
		})
	}
}
