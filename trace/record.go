// Package trace records what enters and leaves a sentry's decision module, so that one txn can be followed through
// every decision and the decisions can be played again. docs/trace-format.md describes the files.
package trace

import (
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"dunegrade/trace/tracepb"
)

// Kind is a record's kind, as in the schema.
type Kind = tracepb.Kind

// Record is one record, flat. At is the sentry's clock in nanoseconds; the file holds differences.
type Record struct {
	Kind     Kind
	At       int64
	Txn      uint64
	Serial   uint64
	Number   uint32
	Worker   uint32 // by the block's own numbers, from 1
	Product  uint32
	Customer uint32
	Ending   uint32
	Key      uint64
	TraceID  [2]uint64
	Cost     uint64
	Patience uint64
	Elapsed  uint64
	Token    uint64
	Span     uint64
	Util     float64
	Queue    float64
	Busy     float64
	Repeat   bool
	Over     bool
	Loaded   bool
	Body     []byte
	Text     string
	Origin   uint32 // in a merged file: whose record it is, by the header's list, from 1
}

// ErrRecord says that bytes are no record.
var ErrRecord = errors.New("trace: malformed record")

// The wire form is written by hand: the loop must not allocate, and a record costs it some tens of nanoseconds. Tests
// hold it against the generated code.

// tag is a field's number and wire type.
type tag uint64

func varint(field protowire.Number) tag { return tag(protowire.EncodeTag(field, protowire.VarintType)) }

func putUint(b []byte, t tag, v uint64) []byte {
	if v == 0 {
		return b
	}
	if t < 0x80 {
		b = append(b, byte(t))
	} else { // no field has a number over 2047
		b = append(b, byte(t)|0x80, byte(t>>7))
	}
	for v >= 0x80 {
		b = append(b, byte(v)|0x80)
		v >>= 7
	}
	return append(b, byte(v))
}

// putSpan writes a span in microseconds, and what that leaves out: most of them are whole.
func putSpan(b []byte, t tag, v uint64) []byte {
	micros := v / 1000
	b = putUint(b, t, micros)
	if left := v - micros*1000; left != 0 {
		b = putUint(b, t+30<<3, left)
	}
	return b
}

func putFixed(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), v)
}

// Fields of records.
var (
	tagKind, tagAfter, tagTxn, tagNumber, tagWorker = varint(1), varint(2), varint(3), varint(4), varint(5)
	tagProduct, tagCustomer, tagCost, tagRepeat     = varint(6), varint(7), varint(9), varint(10)
	tagPatience, tagEnding, tagElapsed, tagOver     = varint(11), varint(12), varint(13), varint(14)
	tagLoaded, tagToken, tagSpan, tagSerial         = varint(18), varint(19), varint(20), varint(23)
	tagOrigin                                       = varint(29)
)

// Append writes a record behind its length, with its time as the difference to the one before. It allocates only
// where b has no room.
func (r *Record) Append(b []byte, before int64) []byte {
	at := len(b)
	b = append(b, 0, 0) // room for the length of nearly every record
	b = putUint(b, tagKind, uint64(r.Kind))
	b = putSpan(b, tagAfter, uint64(r.At-before))
	b = putUint(b, tagTxn, r.Txn)
	b = putUint(b, tagNumber, uint64(r.Number))
	b = putUint(b, tagWorker, uint64(r.Worker))
	b = putUint(b, tagProduct, uint64(r.Product))
	b = putUint(b, tagCustomer, uint64(r.Customer))
	b = putFixed(b, 8, r.Key)
	b = putSpan(b, tagCost, r.Cost)
	b = putUint(b, tagRepeat, flag(r.Repeat))
	b = putSpan(b, tagPatience, r.Patience)
	b = putUint(b, tagEnding, uint64(r.Ending))
	b = putSpan(b, tagElapsed, r.Elapsed)
	b = putUint(b, tagOver, flag(r.Over))
	if r.Loaded {
		b = putLoads(b, r.Util, r.Queue, r.Busy)
	}
	b = putUint(b, tagToken, r.Token)
	b = putSpan(b, tagSpan, r.Span)
	if len(r.Body) > 0 {
		b = protowire.AppendBytes(protowire.AppendTag(b, 21, protowire.BytesType), r.Body)
	}
	if r.Text != "" {
		b = protowire.AppendString(protowire.AppendTag(b, 22, protowire.BytesType), r.Text)
	}
	b = putUint(b, tagSerial, r.Serial)
	b = putFixed(b, 24, r.TraceID[0])
	b = putFixed(b, 25, r.TraceID[1])
	b = putUint(b, tagOrigin, uint64(r.Origin))
	return length(b, at)
}

// length fills in a record's length, a varint of two bytes, padded; a longer record moves up.
func length(b []byte, at int) []byte {
	size := len(b) - at - 2
	if size < 1<<14 {
		b[at], b[at+1] = byte(size)|0x80, byte(size>>7)
		return b
	}
	var length [10]byte
	n := len(protowire.AppendVarint(length[:0], uint64(size)))
	b = append(b, length[:n-2]...)
	copy(b[at+n:], b[at+2:at+2+size])
	copy(b[at:], protowire.AppendVarint(length[:0], uint64(size)))
	return b
}

func putLoads(b []byte, util, queue, busy float64) []byte {
	b = putLoad(b, 15, 26, util)
	b = putLoad(b, 16, 27, queue)
	b = putLoad(b, 17, 28, busy)
	return putUint(b, tagLoaded, 1)
}

// putLoad writes a figure of a load report in thousandths where that is exactly what it is, as figures are that come
// in text with three digits.
func putLoad(b []byte, whole, thousandths protowire.Number, v float64) []byte {
	if n := math.Round(v * 1000); math.Abs(n) < 1e15 && n/1000 == v && !(n == 0 && math.Signbit(v)) {
		return putUint(b, varint(thousandths), protowire.EncodeZigZag(int64(n)))
	}
	return putFixed(b, whole, math.Float64bits(v))
}

func flag(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}

// Decode reads the record at the front of b, after one at before, and gives what is left. Body and Text point into
// b. Fields that it does not know are passed over, as the format promises.
func (r *Record) Decode(b []byte, before int64) ([]byte, error) {
	size, n := protowire.ConsumeVarint(b)
	if n < 0 || size > uint64(len(b)-n) {
		return nil, ErrRecord
	}
	in, rest := b[n:n+int(size)], b[n+int(size):]
	*r = Record{At: before}
	for len(in) > 0 {
		field, kind, n := protowire.ConsumeTag(in)
		if n < 0 {
			return nil, ErrRecord
		}
		in = in[n:]
		switch kind {
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(in)
			if n < 0 {
				return nil, ErrRecord
			}
			in = in[n:]
			switch field {
			case 1:
				r.Kind = Kind(v)
			case 2:
				r.At += int64(v * 1000)
			case 3:
				r.Txn = v
			case 4:
				r.Number = uint32(v)
			case 5:
				r.Worker = uint32(v)
			case 6:
				r.Product = uint32(v)
			case 7:
				r.Customer = uint32(v)
			case 9:
				r.Cost += v * 1000
			case 10:
				r.Repeat = v != 0
			case 11:
				r.Patience += v * 1000
			case 12:
				r.Ending = uint32(v)
			case 13:
				r.Elapsed += v * 1000
			case 14:
				r.Over = v != 0
			case 18:
				r.Loaded = v != 0
			case 19:
				r.Token = v
			case 20:
				r.Span += v * 1000
			case 32:
				r.At += int64(v)
			case 39:
				r.Cost += v
			case 41:
				r.Patience += v
			case 43:
				r.Elapsed += v
			case 50:
				r.Span += v
			case 23:
				r.Serial = v
			case 29:
				r.Origin = uint32(v)
			case 26:
				r.Util = float64(protowire.DecodeZigZag(v)) / 1000
			case 27:
				r.Queue = float64(protowire.DecodeZigZag(v)) / 1000
			case 28:
				r.Busy = float64(protowire.DecodeZigZag(v)) / 1000
			}
		case protowire.Fixed64Type:
			v, n := protowire.ConsumeFixed64(in)
			if n < 0 {
				return nil, ErrRecord
			}
			in = in[n:]
			switch field {
			case 8:
				r.Key = v
			case 15:
				r.Util = math.Float64frombits(v)
			case 16:
				r.Queue = math.Float64frombits(v)
			case 17:
				r.Busy = math.Float64frombits(v)
			case 24:
				r.TraceID[0] = v
			case 25:
				r.TraceID[1] = v
			}
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(in)
			if n < 0 {
				return nil, ErrRecord
			}
			in = in[n:]
			switch field {
			case 21:
				r.Body = v
			case 22:
				r.Text = string(v)
			}
		default:
			n := protowire.ConsumeFieldValue(field, kind, in)
			if n < 0 {
				return nil, fmt.Errorf("%w: field %d", ErrRecord, field)
			}
			in = in[n:]
		}
	}
	return rest, nil
}
