package eventloop

// Wait is the one thing that a connection waits for: each new one takes the place of the one before.
type Wait struct{ timer Timer }

// For has f run after the span, in place of what was waited for before.
func (w *Wait) For(loop Loop, span Micros, f func()) {
	w.Over()
	w.timer = loop.After(span, f)
}

// Over ends the waiting.
func (w *Wait) Over() {
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

// Lags tells whether more than most bytes are kept for the other side of a connection. While any are, it has the span to take some,
// else stalled runs; a wait that is on is not drawn out.
func (w *Wait) Lags(loop Loop, c Conn, most int, span Micros, stalled func()) bool {
	if c.Unsent() == 0 {
		return false
	}
	if w.timer == nil {
		w.For(loop, span, stalled)
	}
	return c.Unsent() > most
}
