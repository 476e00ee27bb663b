package trace

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"dunegrade/trace/tracepb"
)

// A tail is the memory of a sentry's blocks that are not in a segment yet, as a file of a file system in memory. What a
// process that is killed had recorded up to that instant is read from there; no event loop waits for a disk because of it.
//
// It begins with a page: the marker, the length of a Header and that Header. Then come the slots, one a buffer, each
// with a head of 64 bytes: the block's number in its life (0: free), its first time, and how many bytes of records
// follow, all little-endian.

// TailSuffix is what tails' names end in.
const TailSuffix = ".tail"

// DefaultTailDir is where tails lie if nobody says otherwise.
const DefaultTailDir = "/dev/shm"

const (
	tailHeaderBytes = 4096
	slotHeaderBytes = 64
	slotBytes       = slotHeaderBytes + blockBytes + blockBytes/4
)

var tailMarker = [8]byte{0xd6, 'D', 'G', 'T', 't', 'a', 'i', 'l'}

// tailFile is a sentry's own.
type tailFile struct {
	file *os.File
	mem  []byte
	path string
}

func tailPath(folder string, life uint64) string {
	return filepath.Join(folder, fmt.Sprintf("dunegrade-%016x%s", life, TailSuffix))
}

// createTail makes a tail and locks it: what is locked belongs to a process that lives.
func createTail(folder string, h *tracepb.Header) (t *tailFile, err error) {
	head, err := proto.Marshal(h)
	if err != nil {
		return nil, err
	}
	if len(head) > tailHeaderBytes-12 {
		return nil, errors.New("the header does not fit a page")
	}
	path := tailPath(folder, h.Life)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			file.Close()
			os.Remove(path)
		}
	}()
	fd, size := int(file.Fd()), tailHeaderBytes+bufferCount*slotBytes
	if err := unix.Flock(fd, unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return nil, err
	}
	// Danger: without memory set aside, a write where none is left would end the process.
	if err := unix.Fallocate(fd, 0, 0, int64(size)); err != nil {
		return nil, err
	}
	mem, err := unix.Mmap(fd, 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, err
	}
	binary.LittleEndian.PutUint32(mem[8:], uint32(len(head)))
	copy(mem[12:], head)
	copy(mem, tailMarker[:])
	return &tailFile{file, mem, path}, nil
}

func (t *tailFile) slot(i int) []byte {
	at := tailHeaderBytes + i*slotBytes
	return t.mem[at : at+slotBytes : at+slotBytes]
}

// close removes the tail: all of it is in segments.
func (t *tailFile) close() {
	unix.Munmap(t.mem)
	os.Remove(t.path)
	t.file.Close()
}

// beginSlot, grow and free keep a block's slot; without one they do nothing.
func (b *block) beginSlot(number uint64) {
	if b.slot == nil {
		return
	}
	b.records = b.slot[slotHeaderBytes:slotHeaderBytes:slotBytes]
	binary.LittleEndian.PutUint64(b.slot[16:], 0)
	binary.LittleEndian.PutUint64(b.slot[8:], uint64(b.info.First))
	binary.LittleEndian.PutUint64(b.slot, number)
}

func (b *block) updateSlot() {
	if b.slot != nil {
		n := uint64(len(b.records))
		if n > slotBytes-slotHeaderBytes { // it has moved elsewhere, for a list that is huge
			n = 0
		}
		binary.LittleEndian.PutUint64(b.slot[16:], n)
	}
}

func (b *block) freeSlot() {
	if b.slot != nil {
		binary.LittleEndian.PutUint64(b.slot, 0)
	}
}

// readTail reads a tail as a file with an index, and tells whether its process lives.
func readTail(path string) (*File, bool, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, false, err
	}
	defer in.Close()
	alive := unix.Flock(int(in.Fd()), unix.LOCK_SH|unix.LOCK_NB) != nil
	info, err := in.Stat()
	if err != nil {
		return nil, false, err
	}
	if info.Size() != tailHeaderBytes+bufferCount*slotBytes {
		return nil, alive, fmt.Errorf("%s: %w: a tail of %d bytes", path, ErrDamaged, info.Size())
	}
	data := make([]byte, info.Size())
	if _, err := in.ReadAt(data, 0); err != nil {
		return nil, alive, err
	}
	h := &tracepb.Header{}
	n := binary.LittleEndian.Uint32(data[8:])
	if !bytes.Equal(data[:8], tailMarker[:]) || n > tailHeaderBytes-12 || proto.Unmarshal(data[12:12+n], h) != nil {
		return nil, alive, fmt.Errorf("%s: %w", path, ErrNoTrace)
	}
	type part struct {
		number  uint64
		first   int64
		records []byte
	}
	var parts []part
	for i := 0; i < bufferCount; i++ {
		s := data[tailHeaderBytes+i*slotBytes:][:slotBytes]
		number, size := binary.LittleEndian.Uint64(s), binary.LittleEndian.Uint64(s[16:])
		if number != 0 && size > 0 && size <= slotBytes-slotHeaderBytes {
			parts = append(parts, part{number, int64(binary.LittleEndian.Uint64(s[8:])), s[slotHeaderBytes : slotHeaderBytes+size]})
		}
	}
	sort.Slice(parts, func(i, j int) bool { return parts[i].number < parts[j].number })
	var out bytes.Buffer
	p, err := newFileWriter(&out, h)
	if err != nil {
		return nil, alive, err
	}
	for _, x := range parts {
		frame, info, err := p.enc.encodeBlock(x.first, x.records)
		if err != nil {
			return nil, alive, fmt.Errorf("%s: %w", path, err)
		}
		info.Number = x.number
		// The number goes into the frame as well: it is made again with it.
		if frame, info, err = p.enc.encodeBlockWithInfo(info, p.enc.keys, x.records); err != nil {
			return nil, alive, err
		}
		p.index.Blocks = append(p.index.Blocks, p.enc.indexEntry(p.size, info))
		if err := p.write(frame); err != nil {
			return nil, alive, err
		}
	}
	if err := p.close(); err != nil {
		return nil, alive, err
	}
	f, err := Open(bytes.NewReader(out.Bytes()), int64(out.Len()))
	return f, alive, err
}

// lockReleaseWait is how long the lock of a process that was killed may outlive it: the kernel closes files after the process
// has been waited for, on a busy machine tens of milliseconds later.
const lockReleaseWait = 250 * time.Millisecond

// recoverTails writes what processes that have died left in their tails into segments of their lives, in the folder that they
// recorded to, and removes the tails. What lives keeps its own.
func recoverTails(folder Directory, tails string, now *tracepb.Header) error {
	dir, isDisk := folder.(Disk)
	paths, err := filepath.Glob(filepath.Join(tails, "dunegrade-*"+TailSuffix))
	if err != nil || !isDisk {
		return err
	}
	own, err := filepath.Abs(string(dir))
	if err != nil {
		return err
	}
	var faults []error
	until := time.Now().Add(lockReleaseWait)
	for _, path := range paths {
		if path == tailPath(tails, now.Life) {
			continue
		}
		f, alive, err := readTail(path)
		// Danger: an edge that is started again at once would take its own life before for one that still runs, and what
		// that had in hand would be missing until the next start.
		for alive && err == nil && f.Header.Folder == own && f.Header.Edge == now.Edge && f.Header.Sentry == now.Sentry &&
			time.Now().Before(until) {
			f.Close()
			time.Sleep(5 * time.Millisecond)
			f, alive, err = readTail(path)
		}
		if err != nil {
			continue // not ours to judge
		}
		if !alive && f.Header.Folder == own {
			faults = append(faults, recoverTail(dir, path, f))
		}
		f.Close()
	}
	return errors.Join(faults...)
}

func recoverTail(dir Disk, path string, f *File) error {
	list, err := dir.List()
	if err != nil {
		return err
	}
	s := &segmentWriter{dir: dir, header: f.Header}
	next, seen := uint32(0), uint64(0)
	for _, x := range list {
		if !strings.HasPrefix(x.Name, s.namePrefix()) {
			continue
		}
		old, done, err := OpenPath(filepath.Join(string(dir), x.Name))
		if err != nil {
			continue // its header was cut: nothing in it
		}
		next = max(next, old.Header.Segment+1)
		for _, b := range old.Blocks {
			seen = max(seen, b.Block.Number)
		}
		done()
	}
	h := proto.Clone(f.Header).(*tracepb.Header)
	h.Segment = next
	var out bytes.Buffer
	p, err := newFileWriter(&out, h)
	if err != nil {
		return err
	}
	found := false
	for i := range f.Blocks {
		if f.Blocks[i].Block.Number <= seen {
			continue
		}
		_, frame, _, err := f.readFrame(int64(f.Blocks[i].Offset))
		if err != nil {
			return err
		}
		found = true
		frame = appendFrame(nil, frameKindBlock, frame)
		e := proto.Clone(f.Blocks[i]).(*tracepb.Index_Entry)
		e.Offset = p.size
		p.index.Blocks = append(p.index.Blocks, e)
		if err := p.write(frame); err != nil {
			return err
		}
	}
	if found {
		if err := p.close(); err != nil {
			return err
		}
		file, err := dir.Create(fmt.Sprintf("%s%06d%s", s.namePrefix(), next, Suffix))
		if err != nil {
			return err
		}
		_, err = file.Write(out.Bytes())
		if cerr := file.Close(); err == nil {
			err = cerr
		}
		if err != nil {
			return err
		}
	}
	return os.Remove(path)
}
