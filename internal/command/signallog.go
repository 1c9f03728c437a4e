package command

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
)

// signalBacklog is the number of signals that are kept while earlier ones are being logged.
const signalBacklog = 16

// logSignals logs each stop and reload signal that the process gets, repeated ones included, until the returned function is called.
// It changes nothing about what the signals do.
func logSignals(log zerolog.Logger) (stop func()) {
	received := make(chan os.Signal, signalBacklog)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	started, finished := time.Now(), make(chan struct{})
	go func() {
		defer close(finished)
		for s := range received {
			log.Info().Str("signal", s.String()).Dur("up", time.Since(started)).Msg("daemon: signal received")
		}
	}()
	return func() {
		signal.Stop(received)
		close(received)
		<-finished
	}
}
