// Package boundedmsgpack decodes untrusted msgpack with bounds on nesting and memory.
//
// The msgpack library allocates arrays of the stated length, recurses without a limit and panics at some
// unexpected types, so that a few bytes can end a process. Unmarshal checks the encoding first, without
// allocating memory.
package boundedmsgpack

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	// maxDepth is the number of arrays and maps that may be nested.
	maxDepth = 32
	// structBytes, entryBytes and elementBytes are estimates of the memory that is taken by a struct
	// in an array, an entry of a map or a field of a struct, and any other element of an array.
	structBytes  = 192
	entryBytes   = 48
	elementBytes = 16
	// maxFactor and maxExtraBytes bound the memory of a decoded value: the former times its encoded
	// length, plus the latter.
	maxFactor     = 32
	maxExtraBytes = 64 << 10
	// timeExtension is the type of the only extension that is accepted.
	timeExtension = -1
	// maxTimeBytes is the length of the longest encoding of a time.
	maxTimeBytes = 12
)

// The errors of Unmarshal besides those of the msgpack library.
var (
	errDepth     = errors.New("msgpack: nested too deeply")
	errCutOff    = errors.New("msgpack: cut off")
	errMemory    = errors.New("msgpack: would take too much memory")
	errExtension = errors.New("msgpack: unknown extension")
	errCode      = errors.New("msgpack: unknown code")
	errPanic     = errors.New("msgpack: decoder panicked")
)

// Unmarshal decodes b into v. It fails, before it allocates memory, if arrays and maps are nested too
// deeply, state more elements than b has bytes for, or would take much more memory than b. If it fails,
// v may be decoded in part.
func Unmarshal(b []byte, v any) (err error) {
	if err := check(b); err != nil {
		return err
	}
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%w: %v", errPanic, r)
		}
	}()
	return msgpack.Unmarshal(b, v)
}

// container is an array or map whose elements are being scanned.
type container struct {
	// left is the number of values that follow in it: two for each entry of a map.
	left    int64
	isArray bool
}

// scanner reads an encoding without decoding it.
type scanner struct {
	// rest is what was not read yet.
	rest []byte
	// budget is the memory in bytes that the rest may still take.
	budget int64
	open   [maxDepth]container
	depth  int
}

// check returns an error if the first value of b exceeds the bounds or is malformed.
func check(b []byte) error {
	s := scanner{rest: b, budget: maxFactor*int64(len(b)) + maxExtraBytes}
	for {
		if err := s.value(); err != nil {
			return err
		}
		for s.depth > 0 && s.open[s.depth-1].left == 0 {
			s.depth--
		}
		if s.depth == 0 {
			return nil
		}
		s.open[s.depth-1].left--
	}
}

// value scans a value, of an array or map only the header.
func (s *scanner) value() error {
	if len(s.rest) == 0 {
		return errCutOff
	}
	c := s.rest[0]
	s.rest = s.rest[1:]
	switch {
	case msgpcode.IsFixedNum(c), c == msgpcode.False, c == msgpcode.True:
		return nil
	case c == msgpcode.Nil:
		return s.chargeStruct()
	case msgpcode.IsFixedArray(c):
		return s.enterArray(int64(c & msgpcode.FixedArrayMask))
	case msgpcode.IsFixedMap(c):
		return s.enterMap(int64(c & msgpcode.FixedMapMask))
	case msgpcode.IsFixedString(c):
		return s.skip(int64(c & msgpcode.FixedStrMask))
	case msgpcode.IsExt(c):
		return s.extension(c)
	}
	if n, ok := numberBytes[c]; ok {
		return s.skip(n)
	}
	return s.sized(c)
}

// sized scans a value whose length follows its code.
func (s *scanner) sized(c byte) error {
	l, ok := lengthBytes[c]
	if !ok {
		return errCode
	}
	n, err := s.length(l)
	if err != nil {
		return err
	}
	switch c {
	case msgpcode.Array16, msgpcode.Array32:
		return s.enterArray(n)
	case msgpcode.Map16, msgpcode.Map32:
		return s.enterMap(n)
	}
	return s.skip(n)
}

// numberBytes holds the lengths of numbers by their codes, lengthBytes those of the lengths that
// follow other codes, fixedExtensionBytes those of extensions that state none.
var (
	numberBytes = map[byte]int64{
		msgpcode.Uint8: 1, msgpcode.Uint16: 2, msgpcode.Uint32: 4, msgpcode.Uint64: 8,
		msgpcode.Int8: 1, msgpcode.Int16: 2, msgpcode.Int32: 4, msgpcode.Int64: 8,
		msgpcode.Float: 4, msgpcode.Double: 8,
	}
	lengthBytes = map[byte]int{
		msgpcode.Str8: 1, msgpcode.Str16: 2, msgpcode.Str32: 4,
		msgpcode.Bin8: 1, msgpcode.Bin16: 2, msgpcode.Bin32: 4,
		msgpcode.Array16: 2, msgpcode.Array32: 4,
		msgpcode.Map16: 2, msgpcode.Map32: 4,
	}
	fixedExtensionBytes = map[byte]int64{
		msgpcode.FixExt1: 1, msgpcode.FixExt2: 2, msgpcode.FixExt4: 4, msgpcode.FixExt8: 8, msgpcode.FixExt16: 16,
	}
)

// length reads a length of n bytes.
func (s *scanner) length(n int) (int64, error) {
	if n > len(s.rest) {
		return 0, errCutOff
	}
	var b [4]byte
	copy(b[len(b)-n:], s.rest)
	s.rest = s.rest[n:]
	return int64(binary.BigEndian.Uint32(b[:])), nil
}

// extension scans an extension after its code, which must be a time.
func (s *scanner) extension(c byte) error {
	n, ok := fixedExtensionBytes[c]
	if !ok {
		if c != msgpcode.Ext8 {
			return errExtension
		}
		l, err := s.length(1)
		if err != nil {
			return err
		}
		n = l
	}
	if len(s.rest) == 0 {
		return errCutOff
	}
	if n > maxTimeBytes || int8(s.rest[0]) != timeExtension {
		return errExtension
	}
	return s.skip(1 + n)
}

// enterArray begins an array of n elements.
func (s *scanner) enterArray(n int64) error {
	if err := s.charge(n * elementBytes); err != nil {
		return err
	}
	return s.enter(container{left: n, isArray: true})
}

// enterMap begins a map of n entries, or a struct of n fields.
func (s *scanner) enterMap(n int64) error {
	if err := s.chargeStruct(); err != nil {
		return err
	}
	if err := s.charge(n * entryBytes); err != nil {
		return err
	}
	return s.enter(container{left: 2 * n})
}

func (s *scanner) enter(c container) error {
	if c.left > int64(len(s.rest)) {
		return errCutOff
	}
	if s.depth == maxDepth {
		return errDepth
	}
	s.open[s.depth] = c
	s.depth++
	return nil
}

// chargeStruct charges a value that is decoded as a struct, if it is an element of an array.
func (s *scanner) chargeStruct() error {
	if s.depth == 0 || !s.open[s.depth-1].isArray {
		return nil
	}
	return s.charge(structBytes)
}

func (s *scanner) skip(n int64) error {
	if n > int64(len(s.rest)) {
		return errCutOff
	}
	s.rest = s.rest[n:]
	return nil
}

func (s *scanner) charge(n int64) error {
	s.budget -= n
	if s.budget < 0 {
		return errMemory
	}
	return nil
}
