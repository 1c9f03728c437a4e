package statesync

import (
	"bytes"
	"testing"
)

// FuzzPackedPolicy guards against a policy that a relay changes on its way, and against bytes of a relay that end the process.
func FuzzPackedPolicy(f *testing.F) {
	f.Add([]byte(`{"version":"0000000c","routes":{}}`))
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0xff}, 4096))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := unpack(pack(data))
		if err != nil || !bytes.Equal(got, data) {
			t.Fatalf("%q became %q, %v", data, got, err)
		}
		_, _ = unpack(data)
	})
}
