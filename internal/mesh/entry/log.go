package entry

import "time"

// log counts a finished request and writes its log line. Status 0 means that the caller disconnected.
func (e *Entry) log(req *request, attempts []attemptRecord, status int, code string, retryAfter time.Duration) {
	took := time.Since(req.started)
	e.config.Metrics.Request(status, code, took)
	event := e.config.Log.Info()
	if status == 0 || status >= 400 {
		event = e.config.Log.Warn()
	}
	if event == nil {
		return
	}
	event.Str("request", req.requestID).Int("status", status).Str("code", code).Dur("took", took).
		Dur("retry_after", retryAfter).Dur("policy_age", req.policyAge).Dur("up", e.config.Clock.Now().Sub(e.createdAt))
	if req.policy != nil {
		event.Uint64("policy", uint64(req.policy.Version()))
	}
	if !req.deadline.IsZero() {
		event.Str("route", string(req.route.ID)).Str("service", string(req.service)).Str("customer", string(req.customerID())).
			Int("rank", req.rank()).Dur("time_left", time.Until(req.deadline)).Interface("attempts", attempts)
		if req.regions.Limited() {
			event.Strs("regions", req.regions.Names())
		}
	}
	event.Msg("entry: request ended")
}
