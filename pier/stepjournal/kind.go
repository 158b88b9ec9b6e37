package stepjournal

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// IsProgress reports whether b is a record of a sample's progress, by its first field alone.
func IsProgress(b []byte) bool {
	d := msgpack.NewDecoder(bytes.NewReader(b))
	if n, err := d.DecodeMapLen(); err != nil || n == 0 {
		return false
	}
	if name, err := d.DecodeString(); err != nil || name != "k" {
		return false
	}
	n, err := d.DecodeUint8()
	return err == nil && kind(n) == kindProgress
}
