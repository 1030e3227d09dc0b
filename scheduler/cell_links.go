package scheduler

import "slices"

// linkHealth is what is known of the links between cells, by the cell that states are fetched from.
type linkHealth struct {
	lastLateAt    map[CellID]Micros       // when a state was last late though its decode endpoint began others in time
	handoverDelay map[CellID]decayingMean // seconds from sending a decode attempt that fetches a state to its first token
}

// handoverDelay is the recent mean of the seconds from sending a decode attempt that fetches a state from the cell to
// its first token. pickPrefill adds the excess over half the late-start limit to the wait of the cell's prefill
// endpoints, so that cells whose link or decode endpoints are overloaded get fewer prefills.
func (s *Scheduler) handoverDelay(cell CellID) float64 {
	return s.links.handoverDelay[cell].valueAt(s.now, s.typicalHandoverDelay())
}

func (s *Scheduler) typicalHandoverDelay() float64 {
	return s.estimates.firstTokenLatency / float64(sec)
}

// recordHandover adds the delay of an attempt that fetches a state. It is called when the attempt's answer begins, and
// when the attempt times out or is cancelled without one.
func (s *Scheduler) recordHandover(att *attempt) {
	if att.decodes && att.prefillTokens == 0 {
		delay := s.links.handoverDelay[att.stateCell]
		delay.record(s.now, s.typicalHandoverDelay(), seconds(s.now-att.sentAt))
		s.links.handoverDelay[att.stateCell] = delay
	}
}

// lateByLink reports whether a late start is the link's fault: the state is fetched from another cell, and the endpoint
// has since begun another answer in time.
func lateByLink(att *attempt) bool {
	return att.crossesCells && att.endpoint.memory.timelyStartAt > att.sentAt
}

// linkCongested reports whether states from a cell are late though their decode endpoints are healthy, so that its link
// is overloaded or failing. Meanwhile its states go to decode endpoints inside the cell, and prompts are prefilled
// where a decode endpoint accepts their state.
func (s *Scheduler) linkCongested(cell CellID, req *request, congested []CellID) bool {
	if at, seen := s.links.lastLateAt[cell]; seen && s.now-at < req.sloTimeShare(lateStartShare) {
		return true
	}
	return slices.Contains(congested, cell)
}

// congestedCells are those from which a state that is being fetched now is late. They are found once for a decision:
// a search for each prefill endpoint would cost the square of the fleet.
func (s *Scheduler) congestedCells() (cells []CellID) {
	s.examined += uint64(len(s.endpoints.all))
	for _, ep := range s.endpoints.all {
		for _, att := range ep.pending {
			late := att.crossesCells && s.now > att.lateAt && lateByLink(att)
			if late && !slices.Contains(cells, att.stateCell) {
				cells = append(cells, att.stateCell)
			}
		}
	}
	return cells
}
