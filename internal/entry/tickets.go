package entry

import (
	"encoding/json"
	"net/http"
	"strconv"

	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// ticketList is the response body of TicketPath.
type ticketList struct {
	Tickets []string `json:"tickets"`
}

// serveTickets answers TicketPath. The optional query parameter "count" is the number of tickets. A request takes
// one token of the customer's rate limit.
func (e *Entry) serveTickets(c *callerConn, r *http.Request, identity Identity) *Refusal {
	if r.Method != http.MethodPost {
		return &Refusal{Code: problem.BadRequest, Detail: "the method is not POST"}
	}
	count, ok := e.ticketCount(r)
	if !ok {
		return &Refusal{Code: problem.BadRequest, Detail: "count is not between 1 and " + strconv.Itoa(e.config.MaxTickets)}
	}
	if _, err := e.deps.Admitter.Admit(r.Context(), identity.Customer); err != nil {
		return refusalOf(err, problem.RateExceeded)
	}
	issued, err := e.deps.Tickets.Issue(identity.Customer, count)
	if err != nil {
		return refusalOf(err, problem.ClaimStoreUnavailable)
	}
	c.inbound.BeforeHeader()
	c.extendWriteDeadline()
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set("Cache-Control", "no-store")
	_ = json.NewEncoder(c.w).Encode(ticketList{Tickets: issued})
	return nil
}

// ticketCount returns the requested number of tickets, 1 by default. It reports false for one out of range.
func (e *Entry) ticketCount(r *http.Request) (int, bool) {
	stated := r.URL.Query().Get("count")
	if stated == "" {
		return 1, true
	}
	count, err := strconv.Atoi(stated)
	return count, err == nil && count >= 1 && count <= e.config.MaxTickets
}
