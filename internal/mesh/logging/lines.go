package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// ringLines is the number of lines that wait for a slow reader: a few seconds at the highest rate.
	ringLines = 2000
	// failuresPerSecond and successesPerSecond bound the lines about decisions. At about 400 bytes a line they stay
	// below 150 KB a second.
	failuresPerSecond  = 250
	successesPerSecond = 100
)

// Lines are a process's loggers.
type Lines struct {
	// Events takes lines that are not sampled.
	Events zerolog.Logger
	// Decisions takes lines about requests.
	Decisions zerolog.Logger
	writer    diode.Writer
	lost      atomic.Int64
}

// New returns loggers that write to w.
func New(w io.Writer, host string) *Lines {
	l := &Lines{}
	l.writer = diode.NewWriter(w, ringLines, 0, func(lines int) { l.lost.Add(int64(lines)) })
	l.Events = zerolog.New(l.writer).With().Str("host", host).Logger().Hook(clockHook{})
	l.Decisions = l.Events.Sample(&zerolog.LevelSampler{
		InfoSampler: &zerolog.BurstSampler{Burst: successesPerSecond, Period: time.Second},
		WarnSampler: &zerolog.BurstSampler{Burst: failuresPerSecond, Period: time.Second},
	})
	return l
}

// Lost returns the number of lines that a slow reader has cost so far.
func (l *Lines) Lost() int64 {
	return l.lost.Load()
}

// Close writes what is left.
func (l *Lines) Close() error {
	return l.writer.Close()
}

// clockHook adds the time of day in Unix milliseconds to each line.
type clockHook struct{}

// Run implements zerolog.Hook.
func (clockHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Int64(zerolog.TimestampFieldName, time.Now().UnixMilli())
}
