package eventloop

// Timeout is a timer for a connection that waits for at most one event at a time. Setting the Timeout again replaces
// the call that was set before. The owner of the Timeout has to clear it when the connection ends.
type Timeout struct{ timer Timer }

// Set calls f after the duration, and cancels the call that was set before, if any.
func (t *Timeout) Set(loop Loop, duration Micros, f func()) {
	t.Clear()
	t.timer = loop.AfterFunc(duration, f)
}

// Clear cancels the call that is set, if any.
func (t *Timeout) Clear() {
	if t.timer != nil {
		t.timer.Stop()
		t.timer = nil
	}
}

// LimitUnsent reports whether more than limit bytes of a connection are unsent. If any bytes are unsent and no call is
// set, it sets the Timeout to call stalled after the duration. It does not postpone a call that is already set. The
// owner cancels the call with Clear, for example once all bytes are sent.
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
