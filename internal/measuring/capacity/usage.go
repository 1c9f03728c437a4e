package capacity

import (
	"bytes"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/fault"
)

// usage is what the process has used at one time.
type usage struct {
	at        time.Time
	cpu       time.Duration
	allocated uint64
}

// readUsage reads the process's use of processor time (user and system) and the heap.
func readUsage() (usage, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}, fault.New("read processor time", "", err)
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		at:        time.Now(),
		cpu:       time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		allocated: m.TotalAlloc,
	}, nil
}

// resident returns the process's resident memory in bytes.
func resident() (int64, error) {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, fault.New("read resident memory", "", err)
	}
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0, fault.New("read resident memory", "", strconv.ErrSyntax)
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	return pages * int64(os.Getpagesize()), fault.New("read resident memory", "", err)
}

// liveHeap returns the bytes of live objects after a garbage collection.
func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
