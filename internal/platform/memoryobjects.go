package platform

import (
	"bytes"
	"context"
)

// memoryObjects implements ObjectStore in memory.
type memoryObjects struct{ m *Memory }

// Put implements ObjectStore.
func (o memoryObjects) Put(ctx context.Context, name string, data []byte) error {
	if err := ctx.Err(); err != nil {
		return &NotDoneError{Step: "put object", Err: err}
	}
	o.m.mu.Lock()
	defer o.m.mu.Unlock()
	o.m.objects[name] = bytes.Clone(data)
	return nil
}

// Get implements ObjectStore.
func (o memoryObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotDoneError{Step: "get object", Err: err}
	}
	o.m.mu.Lock()
	defer o.m.mu.Unlock()
	data, ok := o.m.objects[name]
	if !ok {
		return nil, ErrNoObject
	}
	return bytes.Clone(data), nil
}
