package audit

import "plumspindle/internal/testbed/record"

// checkDrains checks rule 3: a dispatcher sends nothing to an endpoint that drains or is gone, once a grace time has
// passed since the dispatcher was notified.
func (c *checker) checkDrains(events []record.Event) {
	type pair struct {
		dispatcher string
		endpoint   uint32
	}
	notReady := map[pair]record.Event{} // the update that first reported the endpoint as not ready
	grace := int64(c.deployment.Rules.DrainGraceMs)*millisecond + c.slack
	for i, event := range events {
		key := pair{dispatcher: event.Dispatcher, endpoint: event.Endpoint}
		switch event.Type {
		case record.UpdateDelivered:
			if event.Detail == "ready" {
				delete(notReady, key)
			} else if _, known := notReady[key]; !known {
				notReady[key] = event
			}
		case record.AttemptArrived:
			c.countChecked(ruleDrains)
			update, known := notReady[key]
			if !known {
				continue
			}
			due := c.availableFrom(event.Dispatcher, update.At) + grace
			// An attempt that was sent in time may arrive late if the dispatcher was partitioned from its endpoints.
			if event.At > due && !c.wasPartitioned(event.Dispatcher, due, event.At) {
				c.addViolation(ruleDrains, i+1, event.Request, "sent to endpoint %d, %d ms after %s was notified that it is %s",
					event.Endpoint, (event.At-update.At)/millisecond, event.Dispatcher, update.Detail)
			}
		}
	}
}
