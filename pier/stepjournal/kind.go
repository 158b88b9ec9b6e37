package stepjournal

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// IsProgress reports whether b is a record of a sample's progress, by its first field alone.
func IsProgress(b []byte) bool {
	d := msgpack.NewDecoder(bytes.NewReader(b)) //nolint:forbidigo // It decodes no more than a short name and a number.
	if n, err := d.DecodeMapLen(); err != nil || n == 0 {
		return false
	}
	if c, err := d.PeekCode(); err != nil || !msgpcode.IsFixedString(c) {
		return false
	}
	if name, err := d.DecodeString(); err != nil || name != "k" {
		return false
	}
	n, err := d.DecodeUint8()
	return err == nil && kind(n) == kindProgress
}
