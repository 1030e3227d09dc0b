package eventloop

// Timeout is the one thing that a connection waits for: each new one takes the place of the one before.
type Timeout struct{ timer Timer }

// Set has f run after the span, in place of what was waited for before.
func (w *Timeout) Set(loop Loop, span Micros, f func()) {
	w.Clear()
	w.timer = loop.AfterFunc(span, f)
}

// Clear ends the waiting.
func (w *Timeout) Clear() {
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// LimitUnsent tells whether more than most bytes are kept for the other side of a connection. While any are, it has the span to take some,
// else stalled runs; a wait that is on is not drawn out.
func (w *Timeout) LimitUnsent(loop Loop, c Conn, most int, span Micros, stalled func()) bool {
	if c.Unsent() == 0 {
		return false
	}
	if w.timer == nil {
		w.Set(loop, span, stalled)
	}
	return c.Unsent() > most
}
