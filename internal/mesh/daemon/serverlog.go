package daemon

import (
	"strings"

	"github.com/rs/zerolog"
)

// serverLog is the log of an http.Server. net/http reports there what it does by itself, such as the end of a connection
// after a panic of its handler.
type serverLog struct {
	name string
	log  zerolog.Logger
}

// Write implements io.Writer. Each call is one report.
func (l serverLog) Write(report []byte) (int, error) {
	l.log.Error().Str("server", l.name).Str("error", strings.TrimSpace(string(report))).Msg("daemon: server reported an error")
	return len(report), nil
}
