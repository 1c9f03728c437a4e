package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

// announceTimeout bounds one announcement.
const announceTimeout = time.Second

// Run announces the target until the context ends, then announces that it is
// leaving and closes it. Listen must have been called.
func (t *Target) Run(ctx context.Context) {
	ticker := time.NewTicker(targetapi.Period)
	defer ticker.Stop()
	for {
		t.revive()
		if t.listening() {
			t.announce(targetapi.Serving)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			t.leave()
			return
		}
	}
}

// leave announces the end, waits for work in flight and closes the target.
func (t *Target) leave() {
	t.announce(targetapi.Leaving)
	deadline := time.Now().Add(targetapi.Expiry)
	for len(t.slots) > 0 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	t.Close()
}

// announce sends one announcement; a failed one is repeated by the next period. It sends a second one if the gate's process is not
// the one that answered before.
func (t *Target) announce(state targetapi.State) {
	if t.announceOnce(state) {
		t.announceOnce(state)
	}
}

// announceOnce sends one announcement and reports whether another process of the gate than before has answered.
func (t *Target) announceOnce(state targetapi.State) (changed bool) {
	t.mu.Lock()
	known := t.gate
	t.mu.Unlock()
	body, err := json.Marshal(targetapi.Announcement{
		Name:     t.config.Name,
		Service:  t.config.Service,
		Address:  t.Addr(),
		Slots:    t.config.Slots,
		State:    state,
		Instance: strconv.FormatInt(t.instance(), 10),
		Gate:     known,
	})
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	url := "http://" + t.config.Announce + targetapi.AnnouncePath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gate = response.Header.Get(targetapi.HeaderGate)
	return t.gate != known
}

// instance changes with every start of the emulated process.
func (t *Target) instance() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.started.UnixNano()
}
