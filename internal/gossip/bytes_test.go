package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	rpc "buckthornlatch.example/buckthornlatch/rpc/gossip"
)

const (
	measuredSeconds = 60
	warmupSeconds   = 30
	targetsPerHost  = 9
	services        = 110
	// targetChangeSeconds is the time between two changes of a host's target summaries.
	targetChangeSeconds = 60
	// revisionSeconds and restartSeconds are the times between two catalogue changes and two restarts
	// in a fleet of 460 hosts.
	revisionSeconds = 58
	restartSeconds  = 66
)

// fleetTraffic simulates a fleet in memory and counts the protobuf bytes of its messages.
type fleetTraffic struct {
	now       time.Duration
	hosts     []id.HostID
	tables    []*membership.Table
	random    *rand.Rand
	exchanges int
	messages  int
	requests  int
	responses int
	pushes    int
	keyed     int
	elapsed   time.Duration
}

func newFleetTraffic(size int) *fleetTraffic {
	f := &fleetTraffic{random: rand.New(rand.NewPCG(1, uint64(size)))}
	for i := range size {
		host := id.HostID(fmt.Sprintf("trelew-host-%03d", i))
		f.hosts = append(f.hosts, host)
		f.tables = append(f.tables, f.start(i, host))
	}
	for _, a := range f.tables {
		a.HandlePush(membership.Push{Records: f.allRecords()}, 0)
	}
	return f
}

func (f *fleetTraffic) start(i int, host id.HostID) *membership.Table {
	t := membership.NewTable(membership.Config{
		Self:          host,
		FailureDomain: id.FailureDomain(fmt.Sprintf("domain-%d", i%6)),
		Addresses:     membership.Addresses{Control: "10.20.30.140:7401", Hop: "10.20.30.140:7400"},
		Incarnation:   membership.NewIncarnation(time.Unix(1_800_000_000, 0).Add(f.now), uint16(i)),
		Seed:          uint64(i),
	}, f.clock())
	t.Confirm()
	f.changeTargets(i, t)
	t.SetStatus(membership.Status{Epoch: id.Epoch(20 + f.now/time.Second), CatalogueRevision: 90_000, RosterAcknowledged: 89_000})
	return t
}

func (f *fleetTraffic) clock() clock.Time { return clock.Time(f.now) }

func (f *fleetTraffic) allRecords() (updates []membership.Update) {
	for _, t := range f.tables {
		updates = append(updates, membership.Update{Record: t.Self()})
	}
	return updates
}

func (f *fleetTraffic) changeTargets(i int, t *membership.Table) {
	var targets []membership.Target
	for n := range targetsPerHost {
		targets = append(targets, membership.Target{
			Name:    fmt.Sprintf("t%d", n),
			Service: id.ServiceName(fmt.Sprintf("service-%03d", (i*targetsPerHost+n)%services)),
			State:   membership.TargetServing,
			Slots:   5,
			TargetSummary: membership.TargetSummary{
				Latency: membership.CoarseLatency(20 + f.random.IntN(5)),
			},
		})
	}
	t.SetTargets(targets)
}

// simulateSecond starts the exchanges of all hosts for one second and changes some records.
func (f *fleetTraffic) simulateSecond(at int, period time.Duration) {
	for i, t := range f.tables {
		if (at+i)%targetChangeSeconds == 0 {
			f.changeTargets(i, t)
			f.pushTo(i)
		}
		if (at+i%5)%revisionSeconds == 0 {
			status := t.Self().Status
			status.CatalogueRevision = catalogue.Revision(90_000 + at)
			t.SetStatus(status)
		}
	}
	// The restart rate scales with the size of the fleet.
	if f.random.Float64() < float64(len(f.hosts))/460/restartSeconds {
		i := f.random.IntN(len(f.hosts))
		f.tables[i] = f.start(i, f.hosts[i])
		f.exchange(i, f.random.IntN(len(f.hosts)))
	}
	for i := range f.tables {
		f.now += time.Second / time.Duration(len(f.tables))
		if f.random.Float64() < time.Second.Seconds()/period.Seconds() {
			if peer := f.tables[i].ChoosePeer(f.clock()); peer != nil {
				f.exchange(i, slices.Index(f.hosts, peer.Host))
			}
		}
	}
}

func (f *fleetTraffic) exchange(from, to int) {
	a, b := f.tables[from], f.tables[to]
	f.exchanges++
	for _, keyed := range []bool{false, true} {
		began := time.Now()
		req := a.NewRequest(f.hosts[to], keyed, f.clock())
		wireRequest := encodeRequest(req)
		res := b.HandleRequest(req, f.clock())
		wireResponse := encodeResponse(res)
		push, retry := a.HandleResponse(res, f.clock(), f.clock())
		f.elapsed += time.Since(began)
		f.messages++
		f.requests += proto.Size(wireRequest)
		f.responses += proto.Size(wireResponse)
		if push != nil {
			f.push(b, *push)
		}
		if !retry {
			return
		}
		f.keyed++
	}
}

func (f *fleetTraffic) push(to *membership.Table, p membership.Push) {
	f.messages++
	f.pushes += proto.Size(encodePush(p))
	sender := to.HandlePush(p, f.clock())
	f.pushes += proto.Size(&rpc.PushResponse{Sender: encodeSender(sender)})
}

func (f *fleetTraffic) pushTo(i int) {
	for _, peer := range f.tables[i].ChoosePushPeers(DefaultPushPeers, f.clock()) {
		f.push(f.tables[slices.Index(f.hosts, peer.Host)], f.tables[i].NewPush(peer.Host, f.clock()))
	}
}

// ages returns the ages, in seconds and sorted, of the covered heartbeats of all hosts at all others.
func (f *fleetTraffic) ages() []float64 {
	var ages []float64
	for i, t := range f.tables {
		for j, host := range f.hosts {
			if at, ok := t.CoveredAt(host, f.clock()); ok && i != j {
				ages = append(ages, f.clock().Sub(at).Seconds())
			}
		}
	}
	slices.Sort(ages)
	return ages
}

// BenchmarkExchangeBytes measures the control traffic of one daemon, sent and received together,
// and the ages of the heartbeats that it holds.
func BenchmarkExchangeBytes(b *testing.B) {
	for _, period := range []time.Duration{time.Second, 2300 * time.Millisecond} {
		for _, size := range []int{24, 120, 240, 460} {
			b.Run(fmt.Sprintf("period=%v/hosts=%d", period, size), func(b *testing.B) {
				for range b.N {
					f := newFleetTraffic(size)
					for at := range warmupSeconds {
						f.simulateSecond(at, period)
					}
					f.requests, f.responses, f.pushes, f.exchanges, f.messages, f.keyed, f.elapsed = 0, 0, 0, 0, 0, 0, 0
					for at := range measuredSeconds {
						f.simulateSecond(warmupSeconds+at, period)
					}
					f.report(b)
				}
			})
		}
	}
}

func (f *fleetTraffic) report(b *testing.B) {
	n := float64(f.exchanges)
	perDaemon := float64(len(f.hosts)) * measuredSeconds
	ages := f.ages()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(f.requests)/n, "request-B")
	keyed := encodeRequest(f.tables[0].NewRequest(f.hosts[1], true, f.clock()))
	b.ReportMetric(float64(proto.Size(keyed)), "keyed-request-B")
	b.ReportMetric(float64(f.responses)/n, "response-B")
	b.ReportMetric(float64(f.pushes)/n, "push-B")
	b.ReportMetric(float64(f.messages)/n, "calls/exchange")
	b.ReportMetric(2*float64(f.requests+f.responses+f.pushes)/perDaemon, "body-B/s")
	b.ReportMetric(2*float64(f.messages)/perDaemon, "calls/s")
	b.ReportMetric(float64(f.elapsed.Microseconds())/perDaemon, "cpu-us/s")
	b.ReportMetric(ages[len(ages)/2], "age-p50-s")
	b.ReportMetric(ages[len(ages)*99/100], "age-p99-s")
	b.ReportMetric(ages[len(ages)-1], "age-max-s")
}

// TestHeaderBytes limits the bytes that HTTP headers add to one call, in both directions together.
func TestHeaderBytes(t *testing.T) {
	service := New(Config{Membership: membership.Config{Self: "a", Incarnation: 1}, Clock: clock.NewSystem()})
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	var counted atomic.Int64
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return countingConn{conn, &counted}, err
		},
	}}
	peer := New(Config{Membership: membership.Config{Self: "b", Incarnation: 1}, Clock: clock.NewSystem(), Scheme: "http", Client: client})
	req := encodeRequest(peer.table.NewRequest("a", true, 0))
	res, err := peer.client(strings.TrimPrefix(server.URL, "http://")).Exchange(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	headers := int(counted.Load()) - proto.Size(req) - proto.Size(res)
	t.Logf("headers of one call: %d bytes", headers)
	if headers > 500 {
		t.Errorf("headers of one call take %d bytes", headers)
	}
}
