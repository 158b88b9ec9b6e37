package stepjournal

import (
	"bytes"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/boundedmsgpack"
	"mulberrypier.example/pier/outcome"
)

const (
	// partsFormat is the version of the encoding of a checkpoint in parts. It differs from every
	// checkpointFormat, so that a program that knows no parts restores none.
	partsFormat = 2
	// partMargin is the size reserved in a part for the fields other than its data, in bytes.
	partMargin = 64
)

// part is the encoded form of a part of a checkpoint that does not fit into one record.
type part struct {
	Format int `msgpack:"v"`
	// Index is the index of the part, from 0 to Count-1.
	Index int `msgpack:"x"`
	Count int `msgpack:"c"`
	// Sum is the checksum of the whole checkpoint: parts of different ones are never joined.
	Sum  uint64 `msgpack:"h"`
	Data []byte `msgpack:"b"`
}

// SplitCheckpoint returns a checkpoint in parts of at most limit bytes each, in order, as long as
// limit is more than partMargin. One that needs no more than a part is returned as it is.
func SplitCheckpoint(b []byte, limit int) ([][]byte, error) {
	if len(b) <= limit {
		return [][]byte{b}, nil
	}
	size := max(limit-partMargin, 1)
	n := (len(b) + size - 1) / size
	sum := xxhash.Sum64(b)
	r := make([][]byte, 0, n)
	for i := range n {
		data := b[i*size : min((i+1)*size, len(b))]
		e, err := msgpack.Marshal(&part{Format: partsFormat, Index: i, Count: n, Sum: sum, Data: data})
		if err != nil {
			return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "checkpoint", err)
		}
		r = append(r, e)
	}
	return r, nil
}

// JoinCheckpoint returns the checkpoint whose parts are the first elements of parts. It returns an
// *outcome.Error if some are missing or belong to another checkpoint.
func JoinCheckpoint(parts [][]byte) ([]byte, error) {
	if len(parts) == 0 {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "checkpoint without parts")
	}
	var first part
	if err := boundedmsgpack.Unmarshal(parts[0], &first); err != nil || first.Format != partsFormat {
		return parts[0], nil //nolint:nilerr // Restore tells whether it is a checkpoint.
	}
	if first.Count < 1 || first.Count > len(parts) {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "checkpoint with missing parts")
	}
	var w bytes.Buffer
	for i, b := range parts[:first.Count] {
		var p part
		if err := boundedmsgpack.Unmarshal(b, &p); err != nil {
			return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "part of a checkpoint", err)
		}
		if p.Format != partsFormat || p.Index != i || p.Count != first.Count || p.Sum != first.Sum {
			return nil, outcome.Refuse(outcome.ReasonBadRequest, "part of another checkpoint")
		}
		w.Write(p.Data)
	}
	if xxhash.Sum64(w.Bytes()) != first.Sum {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "parts of different checkpoints")
	}
	return w.Bytes(), nil
}
