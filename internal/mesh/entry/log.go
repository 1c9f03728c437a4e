package entry

import "time"

// log writes the line of a request and counts it. Status 0 means that the caller went away.
func (e *Entry) log(q *query, tries []try, status int, code string, retryAfter time.Duration) {
	took := time.Since(q.started)
	e.config.Metrics.Request(status, code, took)
	event := e.config.Log.Info()
	if status == 0 || status >= 400 {
		event = e.config.Log.Warn()
	}
	if event == nil {
		return
	}
	event.Str("request", q.requestID).Int("status", status).Str("code", code).Dur("took", took).
		Dur("retry_after", retryAfter).Dur("policy_age", q.policyAge)
	if q.policy != nil {
		event.Uint64("policy", uint64(q.policy.Version()))
	}
	if !q.deadline.IsZero() {
		event.Str("route", string(q.route.ID)).Str("service", string(q.service)).Str("customer", string(q.customerID())).
			Int("rank", q.rank()).Dur("time_left", time.Until(q.deadline)).Interface("attempts", tries)
	}
	event.Msg("entry: request ended")
}
