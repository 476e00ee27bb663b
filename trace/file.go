package trace

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"slices"

	"github.com/bits-and-blooms/bloom/v3"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"dunegrade/trace/tracepb"
)

// Version of the format that is written.
const Version = 1

// A file is a run of frames: marker, kind, length and checksum, then the payload. The marker lets a reader find its
// way again behind damage.
const (
	frameHeaderBytes = 16
	frameIndex       = 'I'
	frameBlock       = 'B'
	frameHeader      = 'H'
	// Bounds that a reader holds whatever a file claims: of a frame's payload, and of a block's records.
	maxFrameBytes = 64 << 20
	maxBlockBytes = 64 << 20
)

var (
	frameMarker = [4]byte{0xd6, 'D', 'G', 'T'}
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
)

// What a reader can find wrong.
var (
	ErrNoTrace = errors.New("trace: this is no trace file")
	ErrVersion = errors.New("trace: a newer version of the format")
	ErrDamaged = errors.New("trace: damaged")
)

// appendFrame appends a frame: marker, kind, three bytes of zero, length and checksum (CRC-32C over kind, length and
// payload), all little-endian.
func appendFrame(b []byte, kind byte, parts ...[]byte) []byte {
	at, size := len(b), 0
	for _, p := range parts {
		size += len(p)
	}
	b = append(b, frameMarker[:]...)
	b = append(b, kind, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(size))
	b = append(b, 0, 0, 0, 0)
	for _, p := range parts {
		b = append(b, p...)
	}
	binary.LittleEndian.PutUint32(b[at+12:], frameChecksum(b[at:]))
	return b
}

func frameChecksum(frame []byte) uint32 {
	sum := crc32.Update(0, castagnoli, frame[4:12])
	return crc32.Update(sum, castagnoli, frame[frameHeaderBytes:])
}

// newKeyFilter makes a block's filter of keys and trace ids: three in a thousand blocks are looked into for nothing.
func newKeyFilter(n int) *bloom.BloomFilter { return bloom.NewWithEstimates(uint(max(n, 16)), 0.003) }

func uint64Bytes(v uint64) []byte { return binary.LittleEndian.AppendUint64(nil, v) }

// fastFillNanos is how fast a block fills, in nanoseconds, from which on time is dearer than space.
const fastFillNanos = 500_000_000

// encoder turns blocks of records into frames. It is for one goroutine.
type encoder struct {
	dense      *zstd.Encoder
	fast       *zstd.Encoder // for blocks that fill quickly: a tenth larger at two thirds of the time
	out        []byte
	compressed []byte
	keys       []uint64
	headBytes  int // bytes of the last frame before its records
}

// indexEntry is the index's indexEntry of the frame that was made last.
func (e *encoder) indexEntry(offset uint64, info *tracepb.Block) *tracepb.Index_Entry {
	info.Keys = nil // they stand in the block's head, and would make the index huge
	return &tracepb.Index_Entry{Offset: offset, Block: info, Head: uint32(e.headBytes), HeadSum: crc32.Checksum(e.out[:e.headBytes], castagnoli)}
}

func newEncoder() (*encoder, error) {
	options := []zstd.EOption{zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false),
		zstd.WithWindowSize(blockBytes)}
	z, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	fast, err := zstd.NewWriter(nil, append(options, zstd.WithNoEntropyCompression(true))...)
	if err != nil {
		return nil, err
	}
	return &encoder{dense: z, fast: fast}, nil
}

// encodeBlock makes the frame of one encodeBlock, and the index entry's part of it.
func (e *encoder) encodeBlock(first int64, records []byte) ([]byte, *tracepb.Block, error) {
	info := &tracepb.Block{First: first, Last: first, Size: uint32(len(records))}
	e.keys = e.keys[:0]
	var r Record
	at, earliest, serial := first, first, uint64(0)
	for rest := records; len(rest) > 0; {
		var err error
		if rest, err = r.Decode(rest, at); err != nil {
			return nil, nil, err
		}
		at = r.nextBase()
		earliest = min(earliest, at)
		info.Records++
		if r.Kind < 64 {
			info.Kinds |= 1 << r.Kind
		}
		switch r.Kind {
		case tracepb.Kind_TAKE:
			info.Products |= 1 << min(r.Product, 63)
			if r.Serial == 0 {
				r.Serial = serial + 1
			}
			serial = r.Serial
			// They come nearly in order: a body that is long in coming makes its txn late.
			if info.FirstSerial == 0 || r.Serial < info.FirstSerial {
				info.FirstSerial = r.Serial
			}
			info.LastSerial = max(info.LastSerial, r.Serial)
			if r.Key != 0 {
				e.keys = append(e.keys, r.Key)
			}
			if r.TraceID != [2]uint64{} {
				e.keys = append(e.keys, r.TraceID[0]^r.TraceID[1])
			}
		case tracepb.Kind_WORKER:
			info.Workers++
			if info.Names = append(info.Names, r.Text); info.Workers > maxBlockNames {
				info.Names = nil
			}
			if b := int64(r.Token); b != 0 && !slices.Contains(info.Builds, b) {
				info.Builds = append(info.Builds, b)
			}
		}
	}
	info.Last = max(at, first)
	if earliest < first {
		info.Earliest = earliest
	}
	return e.encodeBlockWithInfo(info, e.keys, records)
}

// encodeBlockWithInfo makes the frame of a block whose figures are known.
func (e *encoder) encodeBlockWithInfo(info *tracepb.Block, met []uint64, records []byte) ([]byte, *tracepb.Block, error) {
	if len(met) > 0 {
		f := newKeyFilter(len(met))
		for _, k := range met {
			f.Add(uint64Bytes(k))
		}
		keys, err := f.MarshalBinary()
		if err != nil {
			return nil, nil, err
		}
		info.Keys = keys
	}
	head, err := proto.Marshal(info)
	if err != nil {
		return nil, nil, err
	}
	zip := e.dense
	if info.Last-info.First < fastFillNanos {
		zip = e.fast
	}
	e.compressed = zip.EncodeAll(records, e.compressed[:0])
	length := binary.AppendUvarint(nil, uint64(len(head)))
	e.out, e.headBytes = appendFrame(e.out[:0], frameBlock, length, head, e.compressed), frameHeaderBytes+len(length)+len(head)
	return e.out, info, nil
}

// headerFrame makes the frame that opens a file.
func headerFrame(h *tracepb.Header) ([]byte, error) {
	data, err := proto.Marshal(h)
	if err != nil {
		return nil, err
	}
	return appendFrame(nil, frameHeader, data), nil
}

// indexFrame makes the frame that closes a file; its last four bytes say where it begins, counted from the end.
func indexFrame(x *tracepb.Index) ([]byte, error) {
	data, err := proto.Marshal(x)
	if err != nil {
		return nil, err
	}
	return appendFrame(nil, frameIndex, data, binary.LittleEndian.AppendUint32(nil, uint32(len(data)+4+frameHeaderBytes))), nil
}

// Damage is a stretch of a file that could not be read.
type Damage struct {
	From, Till int64 // offsets
	Why        string
}

func (d Damage) String() string { return fmt.Sprintf("bytes %d to %d: %s", d.From, d.Till, d.Why) }

// File is an open trace file.
type File struct {
	Header          *tracepb.Header
	Blocks          []*tracepb.Index_Entry
	Damages         []Damage
	Closed          bool // it ends with its index, as a file that was closed does
	Rebuilt         bool // the index was made anew from the blocks
	in              io.ReaderAt
	size            int64
	decoder         *zstd.Decoder
	frame           []byte
	records         []byte
	filterKey       uint64   // the key that places are of
	filterPositions []uint64 // before they are brought within a filter's size
}

// Open reads a file's header and its index, or finds the blocks where there is no index. Damage is not an error: it
// is listed, and the blocks behind it are found. The errors are ErrNoTrace, ErrVersion and those of reading.
func Open(in io.ReaderAt, size int64) (*File, error) {
	f, next, err := openHeader(in, size)
	if err != nil {
		return nil, err
	}
	if f.loadIndex() {
		f.Closed = true
		return f, nil
	}
	f.rebuild(next)
	return f, nil
}

// openHeader reads a file's header alone.
func openHeader(in io.ReaderAt, size int64) (*File, int64, error) {
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBlockBytes))
	if err != nil {
		return nil, 0, err
	}
	f := &File{in: in, size: size, decoder: z}
	kind, payload, next, err := f.readFrame(0)
	if err != nil || kind != frameHeader {
		return nil, 0, ErrNoTrace
	}
	f.Header = &tracepb.Header{}
	if err := proto.Unmarshal(payload, f.Header); err != nil {
		return nil, 0, ErrNoTrace
	}
	if f.Header.Version > Version {
		return nil, 0, fmt.Errorf("%w: %d; this program reads up to %d", ErrVersion, f.Header.Version, Version)
	}
	return f, next, nil
}

// Close frees what the reader holds; the file below is the caller's.
func (f *File) Close() { f.decoder.Close() }

// readFrame gives the frame at an offset. The payload is valid until the next call.
func (f *File) readFrame(at int64) (kind byte, payload []byte, next int64, err error) {
	var head [frameHeaderBytes]byte
	if _, err := f.in.ReadAt(head[:], at); err != nil {
		return 0, nil, 0, fmt.Errorf("%w: %w", ErrDamaged, io.ErrUnexpectedEOF)
	}
	if [4]byte(head[:4]) != frameMarker {
		return 0, nil, 0, fmt.Errorf("%w: no marker", ErrDamaged)
	}
	size := int64(binary.LittleEndian.Uint32(head[8:]))
	if size > maxFrameBytes || at+frameHeaderBytes+size > f.size {
		return 0, nil, 0, fmt.Errorf("%w: a frame of %d bytes", ErrDamaged, size)
	}
	f.frame = append(f.frame[:0], head[:]...)
	if cap(f.frame) < int(frameHeaderBytes+size) {
		f.frame = append(make([]byte, 0, frameHeaderBytes+size), head[:]...)
	}
	f.frame = f.frame[:frameHeaderBytes+size]
	if _, err := f.in.ReadAt(f.frame[frameHeaderBytes:], at+frameHeaderBytes); err != nil {
		return 0, nil, 0, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if frameChecksum(f.frame) != binary.LittleEndian.Uint32(head[12:]) {
		return 0, nil, 0, fmt.Errorf("%w: a wrong checksum", ErrDamaged)
	}
	return head[4], f.frame[frameHeaderBytes:], at + frameHeaderBytes + size, nil
}

// loadIndex reads the index at the file's end, if there is a sound one.
func (f *File) loadIndex() bool {
	var tail [4]byte
	if _, err := f.in.ReadAt(tail[:], f.size-4); err != nil {
		return false
	}
	at := f.size - int64(binary.LittleEndian.Uint32(tail[:]))
	if at < 0 {
		return false
	}
	kind, payload, next, err := f.readFrame(at)
	if err != nil || kind != frameIndex || next != f.size || len(payload) < 4 {
		return false
	}
	var x tracepb.Index
	if proto.Unmarshal(payload[:len(payload)-4], &x) != nil {
		return false
	}
	for _, e := range x.Blocks {
		if e.Block == nil || int64(e.Offset) >= f.size {
			return false
		}
	}
	f.Blocks = x.Blocks
	return true
}

// rebuild finds the blocks one by one, and the next marker behind damage.
func (f *File) rebuild(at int64) {
	f.Rebuilt = true
	for at < f.size {
		kind, payload, next, err := f.readFrame(at)
		if err == nil {
			if kind == frameBlock {
				if info, _, err := splitBlock(payload); err == nil {
					f.Blocks = append(f.Blocks, &tracepb.Index_Entry{Offset: uint64(at), Block: info})
				} else {
					f.Damages = append(f.Damages, Damage{at, next, err.Error()})
				}
			}
			at = next
			continue
		}
		resume := f.findMarker(at + 1)
		f.Damages = append(f.Damages, Damage{at, resume, err.Error()})
		at = resume
	}
}

// findMarker gives the next offset from which on a marker stands, or the file's end.
func (f *File) findMarker(at int64) int64 {
	buf := make([]byte, 64<<10)
	for at < f.size {
		n, _ := f.in.ReadAt(buf, at)
		for i := 0; i+4 <= n; i++ {
			if [4]byte(buf[i:i+4]) == frameMarker {
				return at + int64(i)
			}
		}
		if n < len(buf) {
			break
		}
		at += int64(n) - 3
	}
	return f.size
}

// splitBlock takes a block's payload apart.
func splitBlock(payload []byte) (*tracepb.Block, []byte, error) {
	n, used := binary.Uvarint(payload)
	if used <= 0 || n > uint64(len(payload)-used) {
		return nil, nil, ErrDamaged
	}
	info := &tracepb.Block{}
	if err := proto.Unmarshal(payload[used:used+int(n)], info); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if info.Size > maxBlockBytes {
		return nil, nil, fmt.Errorf("%w: a block of %d bytes", ErrDamaged, info.Size)
	}
	return info, payload[used+int(n):], nil
}

// decompress makes a block's records ready in f.records.
func (f *File) decompress(i int) (*tracepb.Block, error) {
	e := f.Blocks[i]
	kind, payload, _, err := f.readFrame(int64(e.Offset))
	if err == nil && kind != frameBlock {
		err = ErrDamaged
	}
	if err != nil {
		return nil, fmt.Errorf("block %d at %d: %w", i, e.Offset, err)
	}
	info, packed, err := splitBlock(payload)
	if err != nil {
		return nil, fmt.Errorf("block %d at %d: %w", i, e.Offset, err)
	}
	f.records, err = f.decoder.DecodeAll(packed, f.records[:0])
	if err != nil || len(f.records) != int(info.Size) {
		return nil, fmt.Errorf("block %d at %d: %w: it does not unpack", i, e.Offset, ErrDamaged)
	}
	return info, nil
}

// Read gives each record of block i to do, until it returns false. Records are valid during the call only; workers
// are named by the block's WORKER records, whose ids are in names by their number.
func (f *File) Read(i int, do func(r *Record, names []string) bool) error {
	e := f.Blocks[i]
	info, err := f.decompress(i)
	if err != nil {
		return err
	}
	var r, x Record
	names := make([]string, 1, info.Workers%(1<<16)+1)
	at, serial := info.First, uint64(0)
	for rest := f.records; len(rest) > 0; {
		if rest, err = r.Decode(rest, at); err != nil {
			return fmt.Errorf("block %d at %d: %w", i, e.Offset, err)
		}
		at = r.nextBase()
		if r.Kind == tracepb.Kind_WORKER {
			if int(r.Worker) != len(names) {
				return fmt.Errorf("block %d at %d: %w: worker %d after %d", i, e.Offset, ErrDamaged, r.Worker, len(names)-1)
			}
			names = append(names, r.Text)
		}
		if int(r.Worker) >= len(names) {
			return fmt.Errorf("block %d at %d: %w: worker %d is not named", i, e.Offset, ErrDamaged, r.Worker)
		}
		if r.Kind != tracepb.Kind_TAKE {
			if !do(&r, names) {
				return nil
			}
			continue
		}
		if r.Serial == 0 {
			r.Serial = serial + 1
		}
		serial = r.Serial
		worker, token, span := r.Worker, r.Token, r.Span
		r.Worker, r.Token, r.Span = 0, 0, 0
		if !do(&r, names) {
			return nil
		}
		if worker != 0 {
			x = Record{Kind: tracepb.Kind_SUBMIT, At: r.At, Txn: r.Txn, Worker: worker, Origin: r.Origin}
			if !do(&x, names) {
				return nil
			}
		}
		if token != 0 {
			x = Record{Kind: tracepb.Kind_REMIND, At: r.At, Token: token, Span: span, Origin: r.Origin}
			if !do(&x, names) {
				return nil
			}
		}
	}
	return nil
}

// nextBase is the time that the record behind this one counts from.
func (r *Record) nextBase() int64 {
	if r.Kind == tracepb.Kind_BACK {
		return r.At - int64(r.Span)
	}
	return r.At
}

// isDuplicate tells whether block i was read before: a block that was being written stands in a tail as well. number is that
// of the last one read.
func (f *File) isDuplicate(i int, number *uint64) bool {
	n := f.Blocks[i].Block.Number
	if n != 0 && n <= *number {
		return true
	}
	*number = max(*number, n)
	return false
}

// MayContain tells whether block i may hold a key or a trace id (its halves, one over the other).
func (f *File) MayContain(i int, key uint64) bool {
	e := f.Blocks[i]
	keys := e.Block.Keys
	if len(keys) == 0 && e.Head > 0 {
		if e.Block.FirstSerial == 0 {
			return false
		}
		var ok bool
		if keys, ok = f.blockFilter(e); !ok {
			return true // look rather than miss it
		}
	}
	if len(keys) == 0 {
		return false
	}
	return f.filterContains(keys, key)
}

// blockFilter reads the filter in a block's blockFilter. The bytes are valid until the next call.
func (f *File) blockFilter(e *tracepb.Index_Entry) ([]byte, bool) {
	if int64(e.Head) > maxFrameBytes || int64(e.Offset)+int64(e.Head) > f.size {
		return nil, false
	}
	if cap(f.frame) < int(e.Head) {
		f.frame = make([]byte, e.Head)
	}
	f.frame = f.frame[:e.Head]
	if _, err := f.in.ReadAt(f.frame, int64(e.Offset)); err != nil || crc32.Checksum(f.frame, castagnoli) != e.HeadSum || e.Head < frameHeaderBytes {
		return nil, false
	}
	n, used := binary.Uvarint(f.frame[frameHeaderBytes:])
	if used <= 0 || n > uint64(len(f.frame)-frameHeaderBytes-used) {
		return nil, false
	}
	for in := f.frame[frameHeaderBytes+used:]; len(in) > 0; {
		field, kind, n := protowire.ConsumeTag(in)
		if n < 0 {
			return nil, false
		}
		in = in[n:]
		if field == 7 && kind == protowire.BytesType {
			v, n := protowire.ConsumeBytes(in)
			return v, n >= 0
		}
		if n = protowire.ConsumeFieldValue(field, kind, in); n < 0 {
			return nil, false
		}
		in = in[n:]
	}
	return nil, true
}

// filterContains looks a key up in a filter as it stands in the file: number of bits, number of hashes and the bits, in words of
// eight bytes, the highest first. The library's own reader would copy it.
func (f *File) filterContains(keys []byte, key uint64) bool {
	if len(keys) < 32 {
		return true
	}
	m, k := binary.BigEndian.Uint64(keys), binary.BigEndian.Uint64(keys[8:])
	bits := keys[24:]
	// Danger: a damaged filter may claim anything.
	if m == 0 || m > uint64(len(bits))*8 || k == 0 || k > 64 {
		return true
	}
	if f.filterKey != key || len(f.filterPositions) != int(k) {
		f.filterKey, f.filterPositions = key, bloom.Locations(uint64Bytes(key), uint(k))
	}
	for _, at := range f.filterPositions {
		at %= m
		if binary.BigEndian.Uint64(bits[at/64*8:])>>(at%64)&1 == 0 {
			return false
		}
	}
	return true
}

// ContainsBytes tells whether block i holds a key's bytes anywhere, without taking its records apart: most blocks that their
// filter names in vain are told so by it.
func (f *File) ContainsBytes(i int, keys ...uint64) bool {
	if _, err := f.decompress(i); err != nil {
		return true // Read says what is wrong
	}
	for _, k := range keys {
		if k != 0 && bytes.Contains(f.records, uint64Bytes(k)) {
			return true
		}
	}
	return false
}
