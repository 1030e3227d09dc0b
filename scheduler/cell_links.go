package scheduler

import "slices"

// linkHealth is what this dispatcher knows about the links between cells. Its maps are keyed by the cell that states
// are fetched from.
type linkHealth struct {
	lastLateAt    map[CellID]Micros       // when a state last arrived late because of the cell's link
	handoverDelay map[CellID]decayingMean // recent mean delay in seconds; see the method handoverDelay
}

// handoverDelay is the recent mean time, in seconds, from the send of a decode attempt that fetches a state from the
// cell to the attempt's first token. pickPrefill adds the excess over half the late-start limit to the wait of the
// cell's prefill endpoints, because cells whose link or decode endpoints are overloaded should get fewer prefills.
func (s *Scheduler) handoverDelay(cell CellID) float64 {
	return s.links.handoverDelay[cell].valueAt(s.now, s.typicalHandoverDelay())
}

func (s *Scheduler) typicalHandoverDelay() float64 {
	return s.estimates.firstTokenLatency / float64(sec)
}

// recordHandover adds the delay of an attempt that fetches a state. It is called when the attempt's answer begins, and
// when the attempt times out or is cancelled without an answer. The delay of an attempt that has to prefill its prompt
// itself is not added when its answer begins. That delay is added, for cell 0, when the attempt times out or is
// cancelled, because AttemptEnded calls untrack first, which sets prefillTokens to 0.
func (s *Scheduler) recordHandover(att *attempt) {
	if att.decodes && att.prefillTokens == 0 {
		delay := s.links.handoverDelay[att.stateCell]
		delay.record(s.now, s.typicalHandoverDelay(), seconds(s.now-att.sentAt))
		s.links.handoverDelay[att.stateCell] = delay
	}
}

// delayedByLink reports whether the link between cells is taken to be the cause of an attempt's late start. The link is
// taken to be the cause if the state is fetched from another cell and the decode endpoint has begun another answer in
// time since the attempt was sent.
func delayedByLink(att *attempt) bool {
	return att.crossesCells && att.endpoint.memory.lastTimelyStartAt > att.sentAt
}

// linkCongested reports whether the link out of a cell seems overloaded or failing, because states from the cell arrive
// late although their decode endpoints are healthy. While a link is congested, states of the cell are decoded inside
// the cell, and a prompt is prefilled in the cell only if a decode endpoint of the cell has capacity for its request.
func (s *Scheduler) linkCongested(cell CellID, req *request, congested []CellID) bool {
	if at, seen := s.links.lastLateAt[cell]; seen && s.now-at < req.sloTimeShare(lateStartShare) {
		return true
	}
	return slices.Contains(congested, cell)
}

// congestedCells returns the cells from which a state that is being fetched now is late because of the link. A decision
// calls it only once, because a call for each prefill endpoint would take time quadratic in the size of the fleet.
func (s *Scheduler) congestedCells() (cells []CellID) {
	s.examined += uint64(len(s.endpoints.all))
	for _, ep := range s.endpoints.all {
		for _, att := range ep.pending {
			late := att.crossesCells && s.now > att.lateAt && delayedByLink(att)
			if late && !slices.Contains(cells, att.stateCell) {
				cells = append(cells, att.stateCell)
			}
		}
	}
	return cells
}
