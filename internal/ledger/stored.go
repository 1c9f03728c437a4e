package ledger

// storedResponse is one element of the list in storedResponses.
type storedResponse struct {
	response       Response
	bytes          int
	slot           uint32
	older, younger *storedResponse
}

// storedResponses is a linked list of responses in the order in which they were stored.
type storedResponses struct {
	oldest, youngest *storedResponse
	bytes            int
}

// add stores a response for the claim in a slot.
func (s *storedResponses) add(slot uint32, r Response) *storedResponse {
	entry := &storedResponse{response: r, bytes: r.size(), slot: slot, older: s.youngest}
	if s.youngest != nil {
		s.youngest.younger = entry
	} else {
		s.oldest = entry
	}
	s.youngest = entry
	s.bytes += entry.bytes
	return entry
}

// remove drops a response.
func (s *storedResponses) remove(entry *storedResponse) {
	if entry.older != nil {
		entry.older.younger = entry.younger
	} else {
		s.oldest = entry.younger
	}
	if entry.younger != nil {
		entry.younger.older = entry.older
	} else {
		s.youngest = entry.older
	}
	s.bytes -= entry.bytes
}
