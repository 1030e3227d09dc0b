package scheduler

import "slices"

// linkHealth is what is known of the links between cells, by the cell that states come out of.
type linkHealth struct {
	lastLateAt    map[CellID]Micros       // when a state last came late though its decode endpoint was in time with others
	handoverDelay map[CellID]decayingMean // seconds from the send of a state to its first token
}

// handoverDelay is the seconds until a state that was prefilled in a cell begins to be answered, as lately seen; a
// cell whose link is overloaded, or whose decode endpoints are, has its prefill endpoints look busy.
func (s *Scheduler) handoverDelay(cell CellID) float64 {
	return s.links.handoverDelay[cell].valueAt(s.now, s.typicalHandoverDelay())
}

func (s *Scheduler) typicalHandoverDelay() float64 {
	return s.estimates.firstTokenLatency / float64(sec)
}

// recordHandover learns from an attempt that fetches a state, when its answer begins or it is given up without one.
func (s *Scheduler) recordHandover(att *attempt) {
	if att.decodes && att.prefillTokens == 0 {
		delay := s.links.handoverDelay[att.stateCell]
		delay.record(s.now, s.typicalHandoverDelay(), seconds(s.now-att.sentAt))
		s.links.handoverDelay[att.stateCell] = delay
	}
}

// lateByLink reports whether a late start is the link's fault: the state comes out of another cell, and the endpoint
// has begun another answer in time since.
func lateByLink(att *attempt) bool {
	return att.crossesCells && att.endpoint.memory.timelyStartAt > att.sentAt
}

// linkCongested reports whether states come out of a cell late though their decode endpoints are healthy, so its link
// is overloaded or failing. Until they come in time again they go to decode endpoints inside the cell, and prompts
// are prefilled where their states can be taken.
func (s *Scheduler) linkCongested(cell CellID, req *request, congested []CellID) bool {
	if at, seen := s.links.lastLateAt[cell]; seen && s.now-at < req.sloTimeShare(lateStartShare) {
		return true
	}
	return slices.Contains(congested, cell)
}

// congestedCells are those out of which a state that is on its way now is late; most of the time there is none. They
// are found once for a decision: looking through all attempts for each prefill endpoint would cost the square of the
// fleet.
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
