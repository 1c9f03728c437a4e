package platform

import "sync"

// Memory is a table and object store in memory. The zero value is not usable; see NewMemory.
type Memory struct {
	mu       sync.Mutex
	revision Revision
	rows     map[string]Row
	// keys holds every key ever written, sorted.
	keys []string
	// log holds every write in commit order; superseded writes are dropped now and then.
	log []write
	// superseded counts the log's writes that a later write of the same row replaced.
	superseded int
	objects    map[string][]byte
}

// write is one row write in the log.
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

// memoryTable implements Table.
type memoryTable struct{ m *Memory }
