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

// Version is the version of the format that is written.
const Version = 1

// A file is a sequence of frames: marker, kind, length and checksum, then the payload. The marker lets a reader
// resynchronize after damage.
const (
	// frameHeaderBytes is the size of everything in a frame before its payload.
	frameHeaderBytes = 16

	frameKindIndex  = 'I'
	frameKindBlock  = 'B'
	frameKindHeader = 'H'

	// maxFrameBytes limits a frame's payload, so that a damaged length cannot make a reader allocate without bound.
	maxFrameBytes = 64 << 20

	// maxDecodedBlockBytes limits the size of a block's decompressed records, for the same reason.
	maxDecodedBlockBytes = 64 << 20

	// minFilterKeys is the smallest number of keys that a block's filter is sized for.
	minFilterKeys = 16

	// filterFalsePositives is the false-positive rate of a block's filter: the fraction of blocks that do not hold a key
	// but whose filter matches it.
	filterFalsePositives = 0.003

	// filterHeaderBytes is the size of an encoded filter before its words of bits: number of bits, number of hashes and
	// number of bits again.
	filterHeaderBytes = 24

	// maxFilterHashes limits the number of hashes that a reader accepts from a filter.
	maxFilterHashes = 64

	// blockFieldKeys is the number of the field keys of the Block message.
	blockFieldKeys protowire.Number = 7

	// lastProductBit is the last bit of Block.Products; all products with a larger index share it.
	lastProductBit = 63

	// maxWorkerNamesCap limits the initial capacity for a block's worker names, whatever number a damaged block claims.
	maxWorkerNamesCap = 1 << 16

	// markerSearchBytes is the size of the buffer in which a reader searches for the next marker after damage.
	markerSearchBytes = 64 << 10
)

var (
	frameMarker     = [4]byte{0xd6, 'D', 'G', 'T'}
	castagnoliTable = crc32.MakeTable(crc32.Castagnoli)
)

// Errors returned when reading a file.
var (
	ErrNoTrace = errors.New("trace: not a trace file")
	ErrVersion = errors.New("trace: unsupported newer format version")
	ErrDamaged = errors.New("trace: damaged")
)

// appendFrame appends a frame with the payload parts: marker, kind, three zero bytes, length and checksum (CRC-32C over
// kind, length and payload), all little-endian.
func appendFrame(b []byte, kind byte, parts ...[]byte) []byte {
	start, size := len(b), 0
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
	binary.LittleEndian.PutUint32(b[start+12:], frameChecksum(b[start:]))
	return b
}

// frameChecksum computes the checksum of an encoded frame.
func frameChecksum(frame []byte) uint32 {
	sum := crc32.Update(0, castagnoliTable, frame[4:12])
	return crc32.Update(sum, castagnoliTable, frame[frameHeaderBytes:])
}

// newKeyFilter creates a block's Bloom filter for n keys and trace ids.
func newKeyFilter(n int) *bloom.BloomFilter {
	return bloom.NewWithEstimates(uint(max(n, minFilterKeys)), filterFalsePositives)
}

// uint64Bytes returns the little-endian encoding of v.
func uint64Bytes(v uint64) []byte { return binary.LittleEndian.AppendUint64(nil, v) }

// fastFillNanos is the time span of a block, in nanoseconds, below which the CPU time of compressing it matters more than
// its size.
const fastFillNanos = 500_000_000

// encoder encodes blocks of records as frames. It must be used by one goroutine at a time.
type encoder struct {
	dense      *zstd.Encoder
	fast       *zstd.Encoder // for blocks that fill quickly: takes two thirds of the time, output is a tenth larger
	frame      []byte        // the last frame
	compressed []byte
	keys       []uint64
	headBytes  int // bytes of the last frame before its compressed records
}

// indexEntry returns the entry in the index for the last encoded frame.
func (e *encoder) indexEntry(offset uint64, info *tracepb.Block) *tracepb.Index_Entry {
	info.Keys = nil // the filter stays in the block's head: it would make the index too large
	return &tracepb.Index_Entry{Offset: offset, Block: info, Head: uint32(e.headBytes), HeadSum: crc32.Checksum(e.frame[:e.headBytes], castagnoliTable)}
}

func newEncoder() (*encoder, error) {
	options := []zstd.EOption{zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false),
		zstd.WithWindowSize(blockBytes)}
	dense, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	fast, err := zstd.NewWriter(nil, append(options, zstd.WithNoEntropyCompression(true))...)
	if err != nil {
		return nil, err
	}
	return &encoder{dense: dense, fast: fast}, nil
}

// encodeBlock encodes records as a frame and returns it with the block's description, which it derives from the records.
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
			info.Products |= 1 << min(r.Product, lastProductBit)
			if r.Serial == 0 {
				r.Serial = serial + 1
			}
			serial = r.Serial
			// Serials are not quite in order: a txn whose request body arrives slowly is taken late.
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
			if build := int64(r.Token); build != 0 && !slices.Contains(info.Builds, build) {
				info.Builds = append(info.Builds, build)
			}
		}
	}
	info.Last = max(at, first)
	if earliest < first {
		info.Earliest = earliest
	}
	return e.encodeBlockWithInfo(info, e.keys, records)
}

// encodeBlockWithInfo encodes records as the frame of a block whose description lacks only the filter, which it builds
// from filterKeys.
func (e *encoder) encodeBlockWithInfo(info *tracepb.Block, filterKeys []uint64, records []byte) ([]byte, *tracepb.Block, error) {
	if len(filterKeys) > 0 {
		filter := newKeyFilter(len(filterKeys))
		for _, key := range filterKeys {
			filter.Add(uint64Bytes(key))
		}
		encoded, err := filter.MarshalBinary()
		if err != nil {
			return nil, nil, err
		}
		info.Keys = encoded
	}
	head, err := proto.Marshal(info)
	if err != nil {
		return nil, nil, err
	}
	enc := e.dense
	if info.Last-info.First < fastFillNanos {
		enc = e.fast
	}
	e.compressed = enc.EncodeAll(records, e.compressed[:0])
	length := binary.AppendUvarint(nil, uint64(len(head)))
	e.frame, e.headBytes = appendFrame(e.frame[:0], frameKindBlock, length, head, e.compressed), frameHeaderBytes+len(length)+len(head)
	return e.frame, info, nil
}

// headerFrame encodes the first frame of a file.
func headerFrame(h *tracepb.Header) ([]byte, error) {
	data, err := proto.Marshal(h)
	if err != nil {
		return nil, err
	}
	return appendFrame(nil, frameKindHeader, data), nil
}

// indexFrame encodes the last frame of a closed file. It ends with its own length in four bytes, by which a reader finds
// its start from the end of the file.
func indexFrame(x *tracepb.Index) ([]byte, error) {
	data, err := proto.Marshal(x)
	if err != nil {
		return nil, err
	}
	return appendFrame(nil, frameKindIndex, data, binary.LittleEndian.AppendUint32(nil, uint32(len(data)+4+frameHeaderBytes))), nil
}

// Damage is a range of a file that could not be read.
type Damage struct {
	From, Till int64 // offsets in the file
	Why        string
}

// String returns the damaged range and the reason as text.
func (d Damage) String() string { return fmt.Sprintf("bytes %d to %d: %s", d.From, d.Till, d.Why) }

// File is an open trace file.
type File struct {
	Header          *tracepb.Header
	Blocks          []*tracepb.Index_Entry
	Damages         []Damage
	Closed          bool // the file ends with an index, so its writer closed it
	Rebuilt         bool // the list of blocks was rebuilt by reading through the file
	in              io.ReaderAt
	size            int64 // bytes
	decoder         *zstd.Decoder
	frame           []byte   // the last frame or block head read
	records         []byte   // decompressed records of the last block read
	filterKey       uint64   // key that filterPositions belong to
	filterPositions []uint64 // hashes of filterKey, not yet reduced to the size of a filter
}

// Open reads a file's header and its index, or reads through the file if it has no index. Damage is not an error: it is
// listed in Damages, and the blocks after it are found. The errors are ErrNoTrace, ErrVersion and read errors.
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

// openHeader reads only a file's header, and returns the offset of the frame after it.
func openHeader(in io.ReaderAt, size int64) (*File, int64, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedBlockBytes))
	if err != nil {
		return nil, 0, err
	}
	f := &File{in: in, size: size, decoder: decoder}
	kind, payload, next, err := f.readFrame(0)
	if err != nil || kind != frameKindHeader {
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

// Close releases the reader's resources; closing the underlying file is up to the caller.
func (f *File) Close() { f.decoder.Close() }

// readFrame reads the frame at an offset and returns the offset of the next one. The payload is valid until the next
// call.
func (f *File) readFrame(offset int64) (kind byte, payload []byte, next int64, err error) {
	var head [frameHeaderBytes]byte
	if _, err := f.in.ReadAt(head[:], offset); err != nil {
		return 0, nil, 0, fmt.Errorf("%w: %w", ErrDamaged, io.ErrUnexpectedEOF)
	}
	if [4]byte(head[:4]) != frameMarker {
		return 0, nil, 0, fmt.Errorf("%w: frame marker is missing", ErrDamaged)
	}
	size := int64(binary.LittleEndian.Uint32(head[8:]))
	if size > maxFrameBytes || offset+frameHeaderBytes+size > f.size {
		return 0, nil, 0, fmt.Errorf("%w: invalid frame length of %d bytes", ErrDamaged, size)
	}
	f.frame = append(f.frame[:0], head[:]...)
	if cap(f.frame) < int(frameHeaderBytes+size) {
		f.frame = append(make([]byte, 0, frameHeaderBytes+size), head[:]...)
	}
	f.frame = f.frame[:frameHeaderBytes+size]
	if _, err := f.in.ReadAt(f.frame[frameHeaderBytes:], offset+frameHeaderBytes); err != nil {
		return 0, nil, 0, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if frameChecksum(f.frame) != binary.LittleEndian.Uint32(head[12:]) {
		return 0, nil, 0, fmt.Errorf("%w: frame checksum does not match", ErrDamaged)
	}
	return head[4], f.frame[frameHeaderBytes:], offset + frameHeaderBytes + size, nil
}

// loadIndex reads the index at the end of the file and reports whether there is a valid one.
func (f *File) loadIndex() bool {
	var frameLength [4]byte
	if _, err := f.in.ReadAt(frameLength[:], f.size-4); err != nil {
		return false
	}
	offset := f.size - int64(binary.LittleEndian.Uint32(frameLength[:]))
	if offset < 0 {
		return false
	}
	kind, payload, next, err := f.readFrame(offset)
	if err != nil || kind != frameKindIndex || next != f.size || len(payload) < 4 {
		return false
	}
	var index tracepb.Index
	if proto.Unmarshal(payload[:len(payload)-4], &index) != nil {
		return false
	}
	for _, e := range index.Blocks {
		if e.Block == nil || int64(e.Offset) >= f.size {
			return false
		}
	}
	f.Blocks = index.Blocks
	return true
}

// rebuild lists the blocks by reading through the file from an offset. After damage it resumes at the next marker.
func (f *File) rebuild(offset int64) {
	f.Rebuilt = true
	for offset < f.size {
		kind, payload, next, err := f.readFrame(offset)
		if err == nil {
			if kind == frameKindBlock {
				if info, _, err := splitBlock(payload); err == nil {
					f.Blocks = append(f.Blocks, &tracepb.Index_Entry{Offset: uint64(offset), Block: info})
				} else {
					f.Damages = append(f.Damages, Damage{offset, next, err.Error()})
				}
			}
			offset = next
			continue
		}
		resume := f.findMarker(offset + 1)
		f.Damages = append(f.Damages, Damage{offset, resume, err.Error()})
		offset = resume
	}
}

// findMarker returns the offset of the first marker at or after an offset, or the end of the file.
func (f *File) findMarker(offset int64) int64 {
	buf := make([]byte, markerSearchBytes)
	for offset < f.size {
		n, _ := f.in.ReadAt(buf, offset)
		for i := 0; i+4 <= n; i++ {
			if [4]byte(buf[i:i+4]) == frameMarker {
				return offset + int64(i)
			}
		}
		if n < len(buf) {
			break
		}
		offset += int64(n) - 3 // a marker may begin in the last three bytes
	}
	return f.size
}

// splitBlock splits the payload of a block into its description and its compressed records.
func splitBlock(payload []byte) (*tracepb.Block, []byte, error) {
	n, used := binary.Uvarint(payload)
	if used <= 0 || n > uint64(len(payload)-used) {
		return nil, nil, ErrDamaged
	}
	info := &tracepb.Block{}
	if err := proto.Unmarshal(payload[used:used+int(n)], info); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if info.Size > maxDecodedBlockBytes {
		return nil, nil, fmt.Errorf("%w: block of %d bytes exceeds the limit", ErrDamaged, info.Size)
	}
	return info, payload[used+int(n):], nil
}

// decompress reads block i and decompresses its records into f.records.
func (f *File) decompress(i int) (*tracepb.Block, error) {
	e := f.Blocks[i]
	kind, payload, _, err := f.readFrame(int64(e.Offset))
	if err == nil && kind != frameKindBlock {
		err = ErrDamaged
	}
	if err != nil {
		return nil, fmt.Errorf("block %d at %d: %w", i, e.Offset, err)
	}
	info, compressed, err := splitBlock(payload)
	if err != nil {
		return nil, fmt.Errorf("block %d at %d: %w", i, e.Offset, err)
	}
	f.records, err = f.decoder.DecodeAll(compressed, f.records[:0])
	if err != nil || len(f.records) != int(info.Size) {
		return nil, fmt.Errorf("block %d at %d: %w: records cannot be decompressed", i, e.Offset, ErrDamaged)
	}
	return info, nil
}

// Read calls fn for each record of block i until fn returns false. A record is valid only during the call. names holds
// the ids of the block's workers, indexed by their numbers in the block. A TAKE that includes a SUBMIT and a REMIND is
// passed to fn as separate records.
func (f *File) Read(i int, fn func(r *Record, names []string) bool) error {
	e := f.Blocks[i]
	info, err := f.decompress(i)
	if err != nil {
		return err
	}
	var r, implied Record
	names := make([]string, 1, info.Workers%maxWorkerNamesCap+1)
	at, serial := info.First, uint64(0)
	for rest := f.records; len(rest) > 0; {
		if rest, err = r.Decode(rest, at); err != nil {
			return fmt.Errorf("block %d at %d: %w", i, e.Offset, err)
		}
		at = r.nextBase()
		if r.Kind == tracepb.Kind_WORKER {
			if int(r.Worker) != len(names) {
				return fmt.Errorf("block %d at %d: %w: worker %d follows worker %d", i, e.Offset, ErrDamaged, r.Worker, len(names)-1)
			}
			names = append(names, r.Text)
		}
		if int(r.Worker) >= len(names) {
			return fmt.Errorf("block %d at %d: %w: worker %d has no WORKER record", i, e.Offset, ErrDamaged, r.Worker)
		}
		if r.Kind != tracepb.Kind_TAKE {
			if !fn(&r, names) {
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
		if !fn(&r, names) {
			return nil
		}
		if worker != 0 {
			implied = Record{Kind: tracepb.Kind_SUBMIT, At: r.At, Txn: r.Txn, Worker: worker, Origin: r.Origin}
			if !fn(&implied, names) {
				return nil
			}
		}
		if token != 0 {
			implied = Record{Kind: tracepb.Kind_REMIND, At: r.At, Token: token, Span: span, Origin: r.Origin}
			if !fn(&implied, names) {
				return nil
			}
		}
	}
	return nil
}

// nextBase returns the time to which the time of the next record is relative.
func (r *Record) nextBase() int64 {
	if r.Kind == tracepb.Kind_BACK {
		return r.At - int64(r.Span)
	}
	return r.At
}

// isDuplicate reports whether block i was read before, and otherwise advances lastNumber, the number of the last block
// read. A block is both in a segment and in the tail file from its write until its slot is freed.
func (f *File) isDuplicate(i int, lastNumber *uint64) bool {
	n := f.Blocks[i].Block.Number
	if n != 0 && n <= *lastNumber {
		return true
	}
	*lastNumber = max(*lastNumber, n)
	return false
}

// MayContain reports whether block i may hold a key or a trace id, according to its filter. For a trace id, key is the
// XOR of its halves.
func (f *File) MayContain(i int, key uint64) bool {
	e := f.Blocks[i]
	filter := e.Block.Keys
	if len(filter) == 0 && e.Head > 0 {
		if e.Block.FirstSerial == 0 {
			return false
		}
		var ok bool
		if filter, ok = f.blockFilter(e); !ok {
			return true // the filter cannot be read, so the block has to be searched
		}
	}
	if len(filter) == 0 {
		return false
	}
	return f.filterContains(filter, key)
}

// blockFilter reads the filter in a block's head, and reports whether the head is valid. The bytes are valid until the
// next call.
func (f *File) blockFilter(e *tracepb.Index_Entry) ([]byte, bool) {
	if int64(e.Head) > maxFrameBytes || int64(e.Offset)+int64(e.Head) > f.size {
		return nil, false
	}
	if cap(f.frame) < int(e.Head) {
		f.frame = make([]byte, e.Head)
	}
	f.frame = f.frame[:e.Head]
	if _, err := f.in.ReadAt(f.frame, int64(e.Offset)); err != nil || crc32.Checksum(f.frame, castagnoliTable) != e.HeadSum || e.Head < frameHeaderBytes {
		return nil, false
	}
	n, used := binary.Uvarint(f.frame[frameHeaderBytes:])
	if used <= 0 || n > uint64(len(f.frame)-frameHeaderBytes-used) {
		return nil, false
	}
	for in := f.frame[frameHeaderBytes+used:]; len(in) > 0; {
		field, wireType, n := protowire.ConsumeTag(in)
		if n < 0 {
			return nil, false
		}
		in = in[n:]
		if field == blockFieldKeys && wireType == protowire.BytesType {
			v, n := protowire.ConsumeBytes(in)
			return v, n >= 0
		}
		if n = protowire.ConsumeFieldValue(field, wireType, in); n < 0 {
			return nil, false
		}
		in = in[n:]
	}
	return nil, true
}

// filterContains looks up a key in an encoded filter: number of bits, number of hashes, number of bits again, and the
// bits, all in big-endian words of eight bytes. It reads the filter in place; the library's decoder would copy it.
func (f *File) filterContains(filter []byte, key uint64) bool {
	if len(filter) < filterHeaderBytes+8 {
		return true
	}
	bitCount, hashes := binary.BigEndian.Uint64(filter), binary.BigEndian.Uint64(filter[8:])
	words := filter[filterHeaderBytes:]
	// A damaged filter can hold any numbers. They must lead neither to an access out of range nor to unbounded work.
	if bitCount == 0 || bitCount > uint64(len(words))*8 || hashes == 0 || hashes > maxFilterHashes {
		return true
	}
	if f.filterKey != key || len(f.filterPositions) != int(hashes) {
		f.filterKey, f.filterPositions = key, bloom.Locations(uint64Bytes(key), uint(hashes))
	}
	for _, pos := range f.filterPositions {
		pos %= bitCount
		if binary.BigEndian.Uint64(words[pos/64*8:])>>(pos%64)&1 == 0 {
			return false
		}
	}
	return true
}

// ContainsBytes reports whether the records of block i contain the bytes of any of the keys, without decoding them. This
// eliminates most of the filter's false positives at little cost.
func (f *File) ContainsBytes(i int, keys ...uint64) bool {
	if _, err := f.decompress(i); err != nil {
		return true // Read reports the error
	}
	for _, k := range keys {
		if k != 0 && bytes.Contains(f.records, uint64Bytes(k)) {
			return true
		}
	}
	return false
}
