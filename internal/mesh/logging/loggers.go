package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// ringSize is the number of lines that are buffered for a slow reader: a few seconds at the highest rate.
	ringSize = 2000
	// failuresPerSecond and successesPerSecond limit the lines about decisions. At about 400 bytes a line they stay
	// below 150 KB/s.
	failuresPerSecond  = 250
	successesPerSecond = 100
)

// Loggers holds the loggers of a process.
type Loggers struct {
	// Events logs lines about events, without a limit.
	Events zerolog.Logger
	// Decisions logs lines about requests, with rate limits for Info (successes) and Warn (failures).
	Decisions zerolog.Logger
	writer    diode.Writer
	dropped   atomic.Int64
}

// New returns loggers that write to w and add the host's name to each line.
func New(w io.Writer, host string) *Loggers {
	l := &Loggers{}
	l.writer = diode.NewWriter(w, ringSize, 0, func(lines int) { l.dropped.Add(int64(lines)) })
	l.Events = zerolog.New(l.writer).With().Str("host", host).Logger().Hook(timestampHook{})
	l.Decisions = l.Events.Sample(&zerolog.LevelSampler{
		InfoSampler: &zerolog.BurstSampler{Burst: successesPerSecond, Period: time.Second},
		WarnSampler: &zerolog.BurstSampler{Burst: failuresPerSecond, Period: time.Second},
	})
	return l
}

// Dropped returns the number of lines dropped so far because of a slow reader.
func (l *Loggers) Dropped() int64 {
	return l.dropped.Load()
}

// Close writes the buffered lines.
func (l *Loggers) Close() error {
	return l.writer.Close()
}

// timestampHook adds the time in Unix milliseconds to each line.
type timestampHook struct{}

// Run implements zerolog.Hook.
func (timestampHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Int64(zerolog.TimestampFieldName, time.Now().UnixMilli())
}
