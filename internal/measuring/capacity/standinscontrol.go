package capacity

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Paths of the control endpoint.
const (
	infoPath    = "/info"
	targetsPath = "/targets"
)

// controlTimeout bounds one call of the control endpoint.
const controlTimeout = 5 * time.Second

// standinsInfo is what the measuring process needs to know.
type standinsInfo struct {
	Config        StandinsConfig     `json:"config"`
	Platform      string             `json:"platform"`
	Host          id.HostID          `json:"host"`
	Domain        id.FailureDomain   `json:"domain"`
	Revision      catalogue.Revision `json:"revision"`
	PlatformBytes Bytes              `json:"platform_bytes"`
	PeerBytes     Bytes              `json:"peer_bytes"`
	Reads         int64              `json:"reads"`
	Writes        int64              `json:"writes"`
}

// info returns the current counts.
func (w *Standins) info() standinsInfo {
	counts := w.platform.Counts()
	last := w.config.Size.Hosts - 1
	return standinsInfo{
		Config:        w.config,
		Platform:      "http://" + w.listener.Addr().String(),
		Host:          hostName(last),
		Domain:        domainName(last),
		Revision:      w.operator.replica.Snapshot().Revision(),
		PlatformBytes: w.platformBytes.bytes(),
		PeerBytes:     w.peerBytes.bytes(),
		Reads:         counts.Reads,
		Writes:        counts.Writes,
	}
}

// controlHandler serves the control endpoint.
func (w *Standins) controlHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+infoPath, func(rw http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(rw).Encode(w.info())
	})
	mux.HandleFunc("POST "+targetsPath, func(rw http.ResponseWriter, r *http.Request) {
		if err := w.startTargets(ctx, r.URL.Query().Get("local")); err != nil {
			http.Error(rw, err.Error(), http.StatusInternalServerError)
		}
	})
	return mux
}

// askInfo reads the counts from a Standins process.
func askInfo(address string) (standinsInfo, error) {
	var info standinsInfo
	client := &http.Client{Timeout: controlTimeout}
	response, err := client.Get("http://" + address + infoPath)
	if err != nil {
		return info, fault.New("read stand-ins", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	return info, fault.New("decode stand-ins", address, json.NewDecoder(response.Body).Decode(&info))
}

// askTargets starts the measured host's targets.
func askTargets(address, local string) error {
	client := &http.Client{Timeout: controlTimeout}
	response, err := client.Post("http://"+address+targetsPath+"?local="+local, "", nil)
	if err != nil {
		return fault.New("start targets", address, err)
	}
	return response.Body.Close()
}
