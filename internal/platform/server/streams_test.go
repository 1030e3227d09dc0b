package server

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"plumspindle/internal/eventloop"
	"plumspindle/internal/sockets"
)

// BenchmarkManyStreams measures the time from writing an event to its arrival at the client, over loopback, with many
// open streams. Each stream has an event every 50 ms. Some clients stop reading for a moment; the delays of events that
// were written in that time are measured from when the client reads again.
func BenchmarkManyStreams(b *testing.B) {
	for _, streams := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) { measureStreams(b, streams) })
	}
}

func measureStreams(b *testing.B, streams int) {
	const every, pause, events, payload = 50 * eventloop.Millisecond, 500 * eventloop.Millisecond, 40, 200
	handler := &silentHandler{}
	limits := testLimits()
	limits.Connections = streams + 10
	loop, s, address := serve(b, limits, handler)
	handler.handled = make(chan string, streams)
	var mu sync.Mutex
	var delays []time.Duration
	var clients sync.WaitGroup
	for i := range streams {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Write([]byte(requestText(fmt.Sprint(i), 100))); err != nil {
			b.Fatal(err)
		}
		var resume func() <-chan bool
		if i%20 == 0 {
			resume = func() <-chan bool { return resumeAfter(loop, pause) }
		}
		clients.Go(func() {
			defer func() { _ = conn.Close() }()
			own := readDelays(conn, resume)
			mu.Lock()
			delays = append(delays, own...)
			mu.Unlock()
		})
	}
	for range streams {
		<-handler.handled
	}
	padding := strings.Repeat("x", payload)
	loop.Do(func() {
		for c := range s.connections {
			writeEvents(loop, c.response, every, events, padding)
		}
	})
	clients.Wait()
	slices.Sort(delays)
	b.ReportMetric(float64(delays[len(delays)/2].Microseconds())/1000, "ms-p50")
	b.ReportMetric(float64(delays[len(delays)*99/100].Microseconds())/1000, "ms-p99")
	b.ReportMetric(float64(delays[len(delays)-1].Microseconds())/1000, "ms-max")
	if want := streams * events; len(delays) != want {
		b.Errorf("%d events of %d arrived", len(delays), want)
	}
}

// writeEvents writes a stream's events. Each contains the time at which it is written.
func writeEvents(loop eventloop.Loop, r *Response, every eventloop.Micros, left int, padding string) {
	if left == 0 {
		r.Complete()
		return
	}
	var at [8]byte
	binary.BigEndian.PutUint64(at[:], uint64(time.Now().UnixNano()))
	r.WriteEvent([]byte(hex.EncodeToString(at[:]) + padding))
	loop.AfterFunc(every, func() { writeEvents(loop, r, every, left-1, padding) })
}

// resumeAfter returns a channel that is closed when a pause by the loop's clock is over.
func resumeAfter(loop *sockets.Loop, pause eventloop.Micros) <-chan bool {
	over := make(chan bool)
	loop.Post(func() { loop.AfterFunc(pause, func() { close(over) }) })
	return over
}

// readDelays reads a stream to its end and returns the delay of each event. If resume is set, it stops reading after 10
// events until the channel that resume returns is closed.
func readDelays(c net.Conn, resume func() <-chan bool) (delays []time.Duration) {
	var resumedAt time.Time
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		text, event := strings.CutPrefix(lines.Text(), "data: ")
		if !event {
			if lines.Text() == "0" {
				return delays
			}
			continue
		}
		raw, err := hex.DecodeString(text[:16])
		if err != nil {
			return delays
		}
		written := time.Unix(0, int64(binary.BigEndian.Uint64(raw)))
		if written.Before(resumedAt) {
			written = resumedAt
		}
		if delays = append(delays, time.Since(written)); resume != nil && len(delays) == 10 {
			<-resume()
			resumedAt = time.Now()
		}
	}
	return delays
}
