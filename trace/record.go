// Package trace records the events that enter a sentry's decision module and the actions that leave it, so that a
// single txn can be followed through every decision and the decisions can be replayed. docs/trace-format.md describes
// the file format.
package trace

import (
	"errors"
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"dunegrade/trace/tracepb"
)

// Kind is the kind of a record, as defined by the protobuf schema.
type Kind = tracepb.Kind

// Record is a decoded record of any kind. Each kind uses some of the fields, as the schema describes.
type Record struct {
	Kind     Kind
	At       int64     // sentry clock, nanoseconds; files store the difference to the preceding record
	Txn      uint64    // the sentry's id of a txn in progress
	Serial   uint64    // number of the txn in this run, from 1
	Number   uint32    // number of the submission in its txn, from 0; in other kinds a list mode, a verdict or a peer
	Worker   uint32    // number assigned by a WORKER record of the same block, from 1; 0: none
	Product  uint32    // index in the header's products
	Customer uint32    // number of the customer
	Ending   uint32    // how a submission ended, a logic.Ending
	Key      uint64    // hash of the txn's key
	TraceID  [2]uint64 // upper and lower half of the W3C trace id that the client sent; zeros if it sent none
	Cost     uint64    // expected work in nanoseconds, 0 if unknown
	Patience uint64    // time from taking the txn to its expiry, nanoseconds
	Elapsed  uint64    // duration of a submission, nanoseconds
	Token    uint64    // timer token, seed, build, status or count, depending on the kind
	Span     uint64    // nanoseconds; its meaning depends on the kind
	Util     float64   // load report: fraction of the worker's cores in use
	Queue    float64   // load report: txns waiting
	Busy     float64   // load report: txns in progress
	Repeat   bool      // the client marked the txn as a repeat
	Over     bool      // the outcome settles the txn
	Loaded   bool      // the outcome carries a load report
	Body     []byte    // encoded message; nil for kinds without one
	Text     string    // worker id or log line
	Origin   uint32    // in a merged file: position in the header's list of origins, from 1
}

// ErrRecord reports bytes that cannot be decoded as a record.
var ErrRecord = errors.New("trace: malformed record")

// Field numbers of the Record message in trace.proto.
//
// The encoding is written by hand because the event loop must not allocate and can spare only some tens of nanoseconds
// for a record. Tests compare it with the generated code.
const (
	fieldKind             protowire.Number = 1
	fieldAfter            protowire.Number = 2
	fieldTxn              protowire.Number = 3
	fieldNumber           protowire.Number = 4
	fieldWorker           protowire.Number = 5
	fieldProduct          protowire.Number = 6
	fieldCustomer         protowire.Number = 7
	fieldKey              protowire.Number = 8
	fieldCost             protowire.Number = 9
	fieldRepeat           protowire.Number = 10
	fieldPatience         protowire.Number = 11
	fieldEnding           protowire.Number = 12
	fieldElapsed          protowire.Number = 13
	fieldOver             protowire.Number = 14
	fieldUtil             protowire.Number = 15
	fieldQueue            protowire.Number = 16
	fieldBusy             protowire.Number = 17
	fieldLoaded           protowire.Number = 18
	fieldToken            protowire.Number = 19
	fieldSpan             protowire.Number = 20
	fieldBody             protowire.Number = 21
	fieldText             protowire.Number = 22
	fieldSerial           protowire.Number = 23
	fieldTraceHigh        protowire.Number = 24
	fieldTraceLow         protowire.Number = 25
	fieldUtilThousandths  protowire.Number = 26
	fieldQueueThousandths protowire.Number = 27
	fieldBusyThousandths  protowire.Number = 28
	fieldOrigin           protowire.Number = 29

	// nanosFieldOffset is added to the number of a duration field in microseconds to get the number of the field that
	// holds its remaining nanoseconds.
	nanosFieldOffset = 30
)

// fieldTag is an encoded protobuf field key: field number and wire type.
type fieldTag uint64

func varintTag(field protowire.Number) fieldTag {
	return fieldTag(protowire.EncodeTag(field, protowire.VarintType))
}

// putUint appends a varint field unless it is zero.
func putUint(b []byte, t fieldTag, v uint64) []byte {
	if v == 0 {
		return b
	}
	if t < 0x80 {
		b = append(b, byte(t))
	} else { // two bytes suffice: no field number exceeds 2047
		b = append(b, byte(t)|0x80, byte(t>>7))
	}
	for v >= 0x80 {
		b = append(b, byte(v)|0x80)
		v >>= 7
	}
	return append(b, byte(v))
}

// putDuration appends a duration as whole microseconds and, in a field of its own, the remaining nanoseconds, which are
// zero for most durations.
func putDuration(b []byte, t fieldTag, v uint64) []byte {
	micros := v / 1000
	b = putUint(b, t, micros)
	if rest := v - micros*1000; rest != 0 {
		b = putUint(b, t+nanosFieldOffset<<3, rest)
	}
	return b
}

// putFixed64 appends a fixed64 field unless it is zero.
func putFixed64(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), v)
}

// Encoded field keys of the record's varint fields.
var (
	tagKind     = varintTag(fieldKind)
	tagAfter    = varintTag(fieldAfter)
	tagTxn      = varintTag(fieldTxn)
	tagNumber   = varintTag(fieldNumber)
	tagWorker   = varintTag(fieldWorker)
	tagProduct  = varintTag(fieldProduct)
	tagCustomer = varintTag(fieldCustomer)
	tagCost     = varintTag(fieldCost)
	tagRepeat   = varintTag(fieldRepeat)
	tagPatience = varintTag(fieldPatience)
	tagEnding   = varintTag(fieldEnding)
	tagElapsed  = varintTag(fieldElapsed)
	tagOver     = varintTag(fieldOver)
	tagLoaded   = varintTag(fieldLoaded)
	tagToken    = varintTag(fieldToken)
	tagSpan     = varintTag(fieldSpan)
	tagSerial   = varintTag(fieldSerial)
	tagOrigin   = varintTag(fieldOrigin)
)

// Append appends the record to b with its length in front. Its time is stored as the difference to prevAt, the time of
// the preceding record. It allocates only if b has no room left.
func (r *Record) Append(b []byte, prevAt int64) []byte {
	start := len(b)
	b = append(b, 0, 0) // space for a two-byte length, enough for nearly every record
	b = putUint(b, tagKind, uint64(r.Kind))
	b = putDuration(b, tagAfter, uint64(r.At-prevAt))
	b = putUint(b, tagTxn, r.Txn)
	b = putUint(b, tagNumber, uint64(r.Number))
	b = putUint(b, tagWorker, uint64(r.Worker))
	b = putUint(b, tagProduct, uint64(r.Product))
	b = putUint(b, tagCustomer, uint64(r.Customer))
	b = putFixed64(b, fieldKey, r.Key)
	b = putDuration(b, tagCost, r.Cost)
	b = putUint(b, tagRepeat, boolToUint64(r.Repeat))
	b = putDuration(b, tagPatience, r.Patience)
	b = putUint(b, tagEnding, uint64(r.Ending))
	b = putDuration(b, tagElapsed, r.Elapsed)
	b = putUint(b, tagOver, boolToUint64(r.Over))
	if r.Loaded {
		b = putLoads(b, r.Util, r.Queue, r.Busy)
	}
	b = putUint(b, tagToken, r.Token)
	b = putDuration(b, tagSpan, r.Span)
	if len(r.Body) > 0 {
		b = protowire.AppendBytes(protowire.AppendTag(b, fieldBody, protowire.BytesType), r.Body)
	}
	if r.Text != "" {
		b = protowire.AppendString(protowire.AppendTag(b, fieldText, protowire.BytesType), r.Text)
	}
	b = putUint(b, tagSerial, r.Serial)
	b = putFixed64(b, fieldTraceHigh, r.TraceID[0])
	b = putFixed64(b, fieldTraceLow, r.TraceID[1])
	b = putUint(b, tagOrigin, uint64(r.Origin))
	return putLength(b, start)
}

// putLength fills in the length of the record that starts at offset start, as a varint padded to two bytes. The content
// of a record too long for that is moved to make room for a longer varint.
func putLength(b []byte, start int) []byte {
	size := len(b) - start - 2
	if size < 1<<14 {
		b[start], b[start+1] = byte(size)|0x80, byte(size>>7)
		return b
	}
	var prefix [10]byte
	n := len(protowire.AppendVarint(prefix[:0], uint64(size)))
	b = append(b, prefix[:n-2]...)
	copy(b[start+n:], b[start+2:start+2+size])
	copy(b[start:], protowire.AppendVarint(prefix[:0], uint64(size)))
	return b
}

// putLoads appends the fields of a load report.
func putLoads(b []byte, util, queue, busy float64) []byte {
	b = putLoad(b, fieldUtil, fieldUtilThousandths, util)
	b = putLoad(b, fieldQueue, fieldQueueThousandths, queue)
	b = putLoad(b, fieldBusy, fieldBusyThousandths, busy)
	return putUint(b, tagLoaded, 1)
}

// putLoad appends one value of a load report: in thousandths if that represents it exactly, which holds for values
// parsed from text with three decimals, and as a double otherwise.
func putLoad(b []byte, double, thousandths protowire.Number, v float64) []byte {
	if n := math.Round(v * 1000); math.Abs(n) < 1e15 && n/1000 == v && !(n == 0 && math.Signbit(v)) {
		return putUint(b, varintTag(thousandths), protowire.EncodeZigZag(int64(n)))
	}
	return putFixed64(b, double, math.Float64bits(v))
}

func boolToUint64(v bool) uint64 {
	if v {
		return 1
	}
	return 0
}

// Decode decodes the record at the front of b and returns the remaining bytes. prevAt is the time of the preceding
// record. Body aliases b. Unknown fields are skipped, so that later versions of the format can add fields.
func (r *Record) Decode(b []byte, prevAt int64) ([]byte, error) {
	size, n := protowire.ConsumeVarint(b)
	if n < 0 || size > uint64(len(b)-n) {
		return nil, ErrRecord
	}
	in, rest := b[n:n+int(size)], b[n+int(size):]
	*r = Record{At: prevAt}
	for len(in) > 0 {
		field, wireType, n := protowire.ConsumeTag(in)
		if n < 0 {
			return nil, ErrRecord
		}
		in = in[n:]
		switch wireType {
		case protowire.VarintType:
			v, n := protowire.ConsumeVarint(in)
			if n < 0 {
				return nil, ErrRecord
			}
			in = in[n:]
			switch field {
			case fieldKind:
				r.Kind = Kind(v)
			case fieldAfter:
				r.At += int64(v * 1000)
			case fieldTxn:
				r.Txn = v
			case fieldNumber:
				r.Number = uint32(v)
			case fieldWorker:
				r.Worker = uint32(v)
			case fieldProduct:
				r.Product = uint32(v)
			case fieldCustomer:
				r.Customer = uint32(v)
			case fieldCost:
				r.Cost += v * 1000
			case fieldRepeat:
				r.Repeat = v != 0
			case fieldPatience:
				r.Patience += v * 1000
			case fieldEnding:
				r.Ending = uint32(v)
			case fieldElapsed:
				r.Elapsed += v * 1000
			case fieldOver:
				r.Over = v != 0
			case fieldLoaded:
				r.Loaded = v != 0
			case fieldToken:
				r.Token = v
			case fieldSpan:
				r.Span += v * 1000
			case fieldAfter + nanosFieldOffset:
				r.At += int64(v)
			case fieldCost + nanosFieldOffset:
				r.Cost += v
			case fieldPatience + nanosFieldOffset:
				r.Patience += v
			case fieldElapsed + nanosFieldOffset:
				r.Elapsed += v
			case fieldSpan + nanosFieldOffset:
				r.Span += v
			case fieldSerial:
				r.Serial = v
			case fieldOrigin:
				r.Origin = uint32(v)
			case fieldUtilThousandths:
				r.Util = float64(protowire.DecodeZigZag(v)) / 1000
			case fieldQueueThousandths:
				r.Queue = float64(protowire.DecodeZigZag(v)) / 1000
			case fieldBusyThousandths:
				r.Busy = float64(protowire.DecodeZigZag(v)) / 1000
			}
		case protowire.Fixed64Type:
			v, n := protowire.ConsumeFixed64(in)
			if n < 0 {
				return nil, ErrRecord
			}
			in = in[n:]
			switch field {
			case fieldKey:
				r.Key = v
			case fieldUtil:
				r.Util = math.Float64frombits(v)
			case fieldQueue:
				r.Queue = math.Float64frombits(v)
			case fieldBusy:
				r.Busy = math.Float64frombits(v)
			case fieldTraceHigh:
				r.TraceID[0] = v
			case fieldTraceLow:
				r.TraceID[1] = v
			}
		case protowire.BytesType:
			v, n := protowire.ConsumeBytes(in)
			if n < 0 {
				return nil, ErrRecord
			}
			in = in[n:]
			switch field {
			case fieldBody:
				r.Body = v
			case fieldText:
				r.Text = string(v)
			}
		default:
			n := protowire.ConsumeFieldValue(field, wireType, in)
			if n < 0 {
				return nil, fmt.Errorf("%w: field %d", ErrRecord, field)
			}
			in = in[n:]
		}
	}
	return rest, nil
}
