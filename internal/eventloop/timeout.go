package eventloop

// Timeout is the one thing that a connection waits for: setting it replaces what was set before. Its owner clears it
// when the connection ends.
type Timeout struct{ timer Timer }

// Set calls f after the duration, in place of what was set before.
func (t *Timeout) Set(loop Loop, duration Micros, f func()) {
	t.Clear()
	t.timer = loop.AfterFunc(duration, f)
}

// Clear stops the timeout, if one is set.
func (t *Timeout) Clear() {
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
}

// LimitUnsent reports whether more than limit bytes of a connection are unsent. While any are, the other side has to
// take some within the duration, else stalled is called; a timeout that is set already is not extended.
func (t *Timeout) LimitUnsent(loop Loop, c Conn, limit int, duration Micros, stalled func()) (exceeded bool) {
	unsent := c.Unsent()
	if unsent == 0 {
		return false
	}
	if t.timer == nil {
		t.Set(loop, duration, stalled)
	}
	return unsent > limit
}
