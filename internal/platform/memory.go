package platform

import "sync"

// Memory is a table and object store in memory. The zero value is not usable; see NewMemory.
type Memory struct {
	mu       sync.Mutex
	revision Revision
	rows     map[string]Row
	// keys holds every key ever written, sorted.
	keys []string
	// log holds the writes in commit order; compact drops superseded ones.
	log []write
	// superseded is the number of writes in the log that a later write of the same row replaced.
	superseded int
	objects    map[string][]byte
}

// write is a log record for the write of one row.
type write struct {
	revision Revision
	key      string
}

// NewMemory returns an empty table and object store.
func NewMemory() *Memory {
	return &Memory{rows: map[string]Row{}, objects: map[string][]byte{}}
}

// Table returns the table.
func (m *Memory) Table() Table {
	return memoryTable{m}
}

// Objects returns the object store.
func (m *Memory) Objects() ObjectStore {
	return memoryObjects{m}
}

// memoryTable implements Table in memory.
type memoryTable struct{ m *Memory }
