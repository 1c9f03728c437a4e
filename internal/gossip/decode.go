package gossip

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	rpc "buckthornlatch.example/buckthornlatch/rpc/gossip"
)

// decodeRequest reads the wire form of a request.
func decodeRequest(r *rpc.ExchangeRequest) membership.Request {
	return membership.Request{
		Sender: decodeSender(r.GetSender()),
		Digest: decodeDigest(r.GetDigest()),
		Riders: decodeRiders(r.GetRiders()),
	}
}

// decodeResponse reads the wire form of a response.
func decodeResponse(r *rpc.ExchangeResponse) membership.Response {
	return membership.Response{
		Sender:            decodeSender(r.GetSender()),
		UnknownDictionary: r.GetUnknownDictionary(),
		Digest:            decodeDigest(r.GetDigest()),
		Riders:            decodeRiders(r.GetRiders()),
		Records:           decodeUpdates(r.GetRecords()),
		Wanted:            decodeWanted(r),
		WantRiders:        r.GetWantRiders(),
	}
}

// decodeWanted reads the requested records; a missing sequence requests the whole record.
func decodeWanted(r *rpc.ExchangeResponse) []membership.Wanted {
	wanted := make([]membership.Wanted, 0, len(r.GetWanted()))
	for i, key := range r.GetWanted() {
		w := membership.Wanted{Key: key}
		if i < len(r.GetWantedSince()) {
			w.Since = r.GetWantedSince()[i]
		}
		wanted = append(wanted, w)
	}
	return wanted
}

// decodePush reads the wire form of a push.
func decodePush(p *rpc.PushRequest) membership.Push {
	return membership.Push{
		Sender:  decodeSender(p.GetSender()),
		Records: decodeUpdates(p.GetRecords()),
		Digest:  decodeDigest(p.GetDigest()),
		Riders:  decodeRiders(p.GetRiders()),
	}
}

// decodeSender reads the wire form of a sender.
func decodeSender(s *rpc.Sender) membership.Sender {
	age := time.Duration(-1)
	if s.GetPlatformReadAgeMsPlusOne() > 0 {
		age = time.Duration(s.GetPlatformReadAgeMsPlusOne()-1) * time.Millisecond
	}
	return membership.Sender{
		Host:                id.HostID(s.GetHost()),
		Incarnation:         id.Incarnation(s.GetIncarnation()),
		ClockMs:             s.GetClockMs(),
		ReceiverClockMs:     s.GetReceiverClockMsPlusOne() - 1,
		ReceiverIncarnation: id.Incarnation(s.GetReceiverIncarnation()),
		PlatformReadAge:     age,
	}
}

// decodeDigest reads the wire form of a digest.
func decodeDigest(d *rpc.Digest) membership.Digest {
	return membership.Digest{
		Dictionary: d.GetDictionary(),
		Keys:       d.GetKeys(),
		Ages:       d.GetAges(),
		Tags:       d.GetTags(),
		Sequences:  d.GetSequences(),
	}
}

// decodeRiders reads the wire form of the riders' states.
func decodeRiders(riders []*rpc.RiderState) []membership.RiderState {
	states := make([]membership.RiderState, 0, len(riders))
	for _, r := range riders {
		states = append(states, membership.RiderState{Name: r.GetName(), Summary: r.GetSummary(), Delta: r.GetDelta()})
	}
	return states
}

// decodeUpdates reads the wire form of records; records without a host are dropped.
func decodeUpdates(records []*rpc.Record) []membership.Update {
	updates := make([]membership.Update, 0, len(records))
	for _, r := range records {
		if r.GetHost() != "" {
			updates = append(updates, decodeUpdate(r))
		}
	}
	return updates
}

// decodeUpdate reads the wire form of one record.
func decodeUpdate(r *rpc.Record) membership.Update {
	record := decodeRecord(r)
	summaries := decodeSummaries(r.GetSummaries())
	if r.GetStatusOnly() {
		record.Targets = summaries
		return membership.Update{Record: record, StatusOnly: true}
	}
	record.Targets = decodeTargets(r.GetTargets())
	for i := range min(len(summaries), len(record.Targets)) {
		record.Targets[i].TargetSummary = summaries[i].TargetSummary
	}
	return membership.Update{Record: record}
}

// decodeSummaries reads the wire form of the targets' summaries.
func decodeSummaries(encoded []byte) []membership.Target {
	targets := make([]membership.Target, len(encoded)/2)
	for i := range targets {
		second := encoded[2*i+1]
		targets[i].TargetSummary = membership.TargetSummary{
			Latency:      membership.CoarseLatency(encoded[2*i]),
			ErrorPercent: second &^ suspectedBit,
			Suspected:    second&suspectedBit != 0,
		}
	}
	return targets
}

// decodeRecord reads the wire form of a record without its targets.
func decodeRecord(r *rpc.Record) *membership.Record {
	return &membership.Record{
		Host:            id.HostID(r.GetHost()),
		FailureDomain:   id.FailureDomain(r.GetFailureDomain()),
		Addresses:       membership.Addresses{Control: r.GetControlAddress(), Hop: r.GetHopAddress()},
		Incarnation:     id.Incarnation(r.GetIncarnation()),
		Sequence:        r.GetSequence(),
		ContentSequence: r.GetContentSequence(),
		Status: membership.Status{
			Epoch:              id.Epoch(r.GetEpoch()),
			CatalogueRevision:  catalogue.Revision(r.GetCatalogueRevision()),
			RosterAcknowledged: catalogue.Revision(r.GetRosterAcknowledged()),
			EpochsMark:         r.GetEpochsMark(),
			RevocationsMark:    r.GetRevocationsMark(),
		},
		Held:     decodeHeld(r.GetHeld()),
		Suspects: decodeSuspects(r.GetSuspects()),
	}
}

// decodeTargets reads the wire form of targets.
func decodeTargets(targets []*rpc.Target) []membership.Target {
	decoded := make([]membership.Target, 0, len(targets))
	for _, t := range targets {
		decoded = append(decoded, membership.Target{
			Name:    t.GetName(),
			Service: id.ServiceName(t.GetService()),
			State:   membership.TargetState(t.GetState()),
			Slots:   int(t.GetSlots()),
		})
	}
	return decoded
}

// decodeSuspects reads the wire form of evidence about crashing requests.
func decodeSuspects(suspects []*rpc.Suspect) []membership.Suspect {
	decoded := make([]membership.Suspect, 0, len(suspects))
	for _, s := range suspects {
		decoded = append(decoded, membership.Suspect{
			Fingerprint: s.GetFingerprint(),
			Crashed:     decodeCrashes(s.GetCrashed()),
			Cleared:     decodeCrashes(s.GetCleared()),
		})
	}
	return decoded
}

// decodeCrashes reads the wire form of references to crashes.
func decodeCrashes(crashes []*rpc.CrashRef) []membership.CrashRef {
	decoded := make([]membership.CrashRef, 0, len(crashes))
	for _, c := range crashes {
		decoded = append(decoded, membership.CrashRef{
			Target: id.TargetID{Host: id.HostID(c.GetHost()), Name: c.GetTarget()},
			Number: c.GetNumber(),
			Age:    time.Duration(c.GetAgeMs()) * time.Millisecond,
		})
	}
	return decoded
}

// decodeHeld reads the wire form of held epochs.
func decodeHeld(held []*rpc.HeldEpoch) []membership.HeldEpoch {
	decoded := make([]membership.HeldEpoch, 0, len(held))
	for _, h := range held {
		decoded = append(decoded, membership.HeldEpoch{Host: id.HostID(h.GetHost()), Epoch: id.Epoch(h.GetEpoch()), Active: h.GetActive()})
	}
	return decoded
}
