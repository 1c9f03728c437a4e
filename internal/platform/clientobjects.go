package platform

import (
	"context"

	rpc "buckthornlatch.example/buckthornlatch/rpc/platform"
)

// clientObjects implements ObjectStore over twirp.
type clientObjects struct{ c *Client }

// Put implements ObjectStore.
func (o clientObjects) Put(ctx context.Context, name string, data []byte) error {
	_, err := o.c.rpc.PutObject(ctx, &rpc.PutObjectRequest{Name: name, Data: data})
	if err != nil {
		return o.c.writeError("put object", err)
	}
	return nil
}

// Get implements ObjectStore.
func (o clientObjects) Get(ctx context.Context, name string) ([]byte, error) {
	response, err := o.c.rpc.GetObject(ctx, &rpc.GetObjectRequest{Name: name})
	if err != nil {
		return nil, o.c.readError("get object", err)
	}
	if !response.GetFound() {
		return nil, ErrNoObject
	}
	return response.GetData(), nil
}
