package gossip

import (
	"errors"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/membership"
	rpc "buckthornlatch.example/buckthornlatch/rpc/gossip"
)

// errNoSender reports a message without its sender.
var errNoSender = errors.New("message has no sender")

// encodeRequest returns the wire form of a request.
func encodeRequest(r membership.Request) *rpc.ExchangeRequest {
	return &rpc.ExchangeRequest{
		Sender: encodeSender(r.Sender),
		Digest: encodeDigest(r.Digest),
		Riders: encodeRiders(r.Riders),
	}
}

// encodeResponse returns the wire form of a response.
func encodeResponse(r membership.Response) *rpc.ExchangeResponse {
	encoded := &rpc.ExchangeResponse{
		Sender:            encodeSender(r.Sender),
		UnknownDictionary: r.UnknownDictionary,
		Digest:            encodeDigest(r.Digest),
		Riders:            encodeRiders(r.Riders),
		Records:           encodeUpdates(r.Records),
		WantRiders:        r.WantRiders,
	}
	for _, w := range r.Wanted {
		encoded.Wanted = append(encoded.Wanted, w.Key)
		encoded.WantedSince = append(encoded.WantedSince, w.Since)
	}
	return encoded
}

// encodePush returns the wire form of a push.
func encodePush(p membership.Push) *rpc.PushRequest {
	return &rpc.PushRequest{
		Sender:  encodeSender(p.Sender),
		Records: encodeUpdates(p.Records),
		Digest:  encodeDigest(p.Digest),
		Riders:  encodeRiders(p.Riders),
	}
}

// encodeSender returns the wire form of a sender.
func encodeSender(s membership.Sender) *rpc.Sender {
	return &rpc.Sender{
		Host:                     string(s.Host),
		Incarnation:              uint64(s.Incarnation),
		ClockMs:                  s.ClockMs,
		ReceiverClockMsPlusOne:   s.ReceiverClockMs + 1,
		ReceiverIncarnation:      uint64(s.ReceiverIncarnation),
		PlatformReadAgeMsPlusOne: encodeReadAge(s.PlatformReadAge),
	}
}

// encodeReadAge returns the age in milliseconds, rounded up, plus one; zero for none.
func encodeReadAge(age time.Duration) int64 {
	if age < 0 {
		return 0
	}
	return (age + time.Millisecond - 1).Milliseconds() + 1
}

// encodeDigest returns the wire form of a digest; nil for an empty one.
func encodeDigest(d membership.Digest) *rpc.Digest {
	if len(d.Ages) == 0 {
		return nil
	}
	return &rpc.Digest{
		Dictionary: d.Dictionary,
		Keys:       d.Keys,
		Ages:       d.Ages,
		Tags:       d.Tags,
		Sequences:  d.Sequences,
	}
}

// encodeRiders returns the wire form of the riders' states.
func encodeRiders(states []membership.RiderState) []*rpc.RiderState {
	riders := make([]*rpc.RiderState, 0, len(states))
	for _, s := range states {
		riders = append(riders, &rpc.RiderState{Name: s.Name, Summary: s.Summary, Delta: s.Delta})
	}
	return riders
}

// encodeUpdates returns the wire form of records.
func encodeUpdates(updates []membership.Update) []*rpc.Record {
	records := make([]*rpc.Record, 0, len(updates))
	for _, u := range updates {
		record := encodeRecord(u.Record)
		record.StatusOnly = u.StatusOnly
		if !u.StatusOnly {
			record.Targets = encodeTargets(u.Record.Targets)
			record.Suspects = encodeSuspects(u.Record.Suspects)
			record.Held = encodeHeld(u.Record.Held)
		}
		records = append(records, record)
	}
	return records
}

// encodeRecord returns the wire form of a record without its content.
func encodeRecord(r *membership.Record) *rpc.Record {
	return &rpc.Record{
		Host:               string(r.Host),
		FailureDomain:      string(r.FailureDomain),
		ControlAddress:     r.Addresses.Control,
		HopAddress:         r.Addresses.Hop,
		Incarnation:        uint64(r.Incarnation),
		Sequence:           r.Sequence,
		ContentSequence:    r.ContentSequence,
		Epoch:              uint64(r.Status.Epoch),
		CatalogueRevision:  uint64(r.Status.CatalogueRevision),
		RosterAcknowledged: uint64(r.Status.RosterAcknowledged),
		EpochsMark:         r.Status.EpochsMark,
		RevocationsMark:    r.Status.RevocationsMark,
		Summaries:          encodeSummaries(r.Targets),
	}
}

// suspectedBit marks a suspected target in the second byte of its summary.
const suspectedBit = 0x80

// encodeSummaries returns the wire form of the targets' summaries.
func encodeSummaries(targets []membership.Target) []byte {
	encoded := make([]byte, 0, 2*len(targets))
	for _, t := range targets {
		second := min(t.ErrorPercent, 100)
		if t.Suspected {
			second |= suspectedBit
		}
		encoded = append(encoded, byte(t.Latency), second)
	}
	return encoded
}

// encodeTargets returns the wire form of targets.
func encodeTargets(targets []membership.Target) []*rpc.Target {
	encoded := make([]*rpc.Target, 0, len(targets))
	for _, t := range targets {
		encoded = append(encoded, &rpc.Target{
			Name:    t.Name,
			Service: string(t.Service),
			State:   uint32(t.State),
			Slots:   uint32(t.Slots),
		})
	}
	return encoded
}

// encodeSuspects returns the wire form of evidence about crashing requests.
func encodeSuspects(suspects []membership.Suspect) []*rpc.Suspect {
	encoded := make([]*rpc.Suspect, 0, len(suspects))
	for _, s := range suspects {
		encoded = append(encoded, &rpc.Suspect{
			Fingerprint: s.Fingerprint,
			Crashed:     encodeCrashes(s.Crashed),
			Cleared:     encodeCrashes(s.Cleared),
		})
	}
	return encoded
}

// encodeCrashes returns the wire form of references to crashes.
func encodeCrashes(crashes []membership.CrashRef) []*rpc.CrashRef {
	encoded := make([]*rpc.CrashRef, 0, len(crashes))
	for _, c := range crashes {
		encoded = append(encoded, &rpc.CrashRef{
			Host:   string(c.Target.Host),
			Target: c.Target.Name,
			Number: c.Number,
			AgeMs:  c.Age.Milliseconds(),
		})
	}
	return encoded
}

// encodeHeld returns the wire form of held epochs.
func encodeHeld(held []membership.HeldEpoch) []*rpc.HeldEpoch {
	encoded := make([]*rpc.HeldEpoch, 0, len(held))
	for _, h := range held {
		encoded = append(encoded, &rpc.HeldEpoch{Host: string(h.Host), Epoch: uint64(h.Epoch), Active: h.Active})
	}
	return encoded
}
