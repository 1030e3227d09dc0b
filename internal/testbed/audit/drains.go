package audit

import "plumspindle/internal/testbed/record"

// checkDrains checks rule 3: nothing is sent to an endpoint that drains or is gone, a grace time after the dispatcher
// was notified of that.
func (j *judge) checkDrains(events []record.Event) {
	type watch struct {
		dispatcher string
		endpoint   uint32
	}
	notReady := map[watch]record.Event{} // the first update that said so
	grace := int64(j.deployment.Rules.DrainGraceMs)*millisecond + j.slack
	for i, event := range events {
		key := watch{dispatcher: event.Dispatcher, endpoint: event.Endpoint}
		switch event.Type {
		case record.UpdateDelivered:
			if event.Detail == "ready" {
				delete(notReady, key)
			} else if _, known := notReady[key]; !known {
				notReady[key] = event
			}
		case record.AttemptArrived:
			j.checked(ruleDrains)
			update, known := notReady[key]
			if !known {
				continue
			}
			due := j.availableFrom(event.Dispatcher, update.At) + grace
			// What was sent in time may arrive late where the way to the endpoints was cut.
			if event.At > due && !j.wasPartitioned(event.Dispatcher, due, event.At) {
				j.violation(ruleDrains, i+1, event.Request, "sent to host %d, %d ms after %s was told that it is %s",
					event.Endpoint, (event.At-update.At)/millisecond, event.Dispatcher, update.Detail)
			}
		}
	}
}
