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

// A tail file holds the blocks of a sentry that are not written to a segment yet. It is a shared memory mapping of a file
// on a file system in memory. The records of a killed process survive there, and no event loop has to wait for a disk.
//
// The file begins with a page that holds the marker, the length of a Header and that Header. The slots follow, one for
// each buffer. Each begins with a header of 64 bytes: the number of the block in its run (0: the slot is free), the time
// of its first record, and the size of its records, all little-endian. The records follow.

// TailSuffix is the file name suffix of tail files.
const TailSuffix = ".tail"

// DefaultTailDir is the default directory of tail files.
const DefaultTailDir = "/dev/shm"

const (
	// tailHeaderBytes is the size of the page at the start of a tail file.
	tailHeaderBytes = 4096

	// tailLengthOffset is the offset of the Header's length in that page, after the marker.
	tailLengthOffset = 8

	// tailMessageOffset is the offset of the Header in that page.
	tailMessageOffset = 12

	// slotHeaderBytes is the size of a slot's header.
	slotHeaderBytes = 64

	// slotFirstOffset is the offset of the block's first time in a slot's header. The block's number is at offset 0.
	slotFirstOffset = 8

	// slotSizeOffset is the offset of the size of the block's records in a slot's header.
	slotSizeOffset = 16

	// slotBytes is the size of a slot. A block's records exceed blockBytes by at most a quarter, except after a very long
	// worker list.
	slotBytes = slotHeaderBytes + blockBytes + blockBytes/4
)

var tailMarker = [8]byte{0xd6, 'D', 'G', 'T', 't', 'a', 'i', 'l'}

// tailFile is the tail file of a running sentry.
type tailFile struct {
	file *os.File
	mem  []byte // mapping of the whole file
	path string
}

// tailPath returns the path of the tail file of a run.
func tailPath(dir string, runID uint64) string {
	return filepath.Join(dir, fmt.Sprintf("dunegrade-%016x%s", runID, TailSuffix))
}

// createTail creates, locks and maps a tail file. The lock shows that its process is running.
func createTail(dir string, h *tracepb.Header) (t *tailFile, err error) {
	head, err := proto.Marshal(h)
	if err != nil {
		return nil, err
	}
	if len(head) > tailHeaderBytes-tailMessageOffset {
		return nil, errors.New("trace: the header exceeds the first page of a tail file")
	}
	path := tailPath(dir, h.Life)
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
	// Reserve the memory now. If the file system ran out of memory later, a write to the mapping would raise SIGBUS and
	// terminate the process.
	if err := unix.Fallocate(fd, 0, 0, int64(size)); err != nil {
		return nil, err
	}
	mem, err := unix.Mmap(fd, 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, err
	}
	binary.LittleEndian.PutUint32(mem[tailLengthOffset:], uint32(len(head)))
	copy(mem[tailMessageOffset:], head)
	copy(mem, tailMarker[:])
	return &tailFile{file, mem, path}, nil
}

// slot returns the memory of slot i.
func (t *tailFile) slot(i int) []byte {
	start := tailHeaderBytes + i*slotBytes
	return t.mem[start : start+slotBytes : start+slotBytes]
}

// close unmaps and removes the tail file. It is called once all blocks are in segments.
func (t *tailFile) close() {
	unix.Munmap(t.mem)
	os.Remove(t.path)
	t.file.Close()
}

// beginSlot assigns the block's slot, if it has one, to the block with the given number.
func (b *block) beginSlot(number uint64) {
	if b.slot == nil {
		return
	}
	b.records = b.slot[slotHeaderBytes:slotHeaderBytes:slotBytes]
	binary.LittleEndian.PutUint64(b.slot[slotSizeOffset:], 0)
	binary.LittleEndian.PutUint64(b.slot[slotFirstOffset:], uint64(b.info.First))
	binary.LittleEndian.PutUint64(b.slot, number)
}

// updateSlot stores the size of the block's records in its slot, if it has one.
func (b *block) updateSlot() {
	if b.slot != nil {
		n := uint64(len(b.records))
		if n > slotBytes-slotHeaderBytes { // a very long worker list made append move the records out of the slot
			n = 0
		}
		binary.LittleEndian.PutUint64(b.slot[slotSizeOffset:], n)
	}
}

// freeSlot marks the block's slot, if it has one, as free.
func (b *block) freeSlot() {
	if b.slot != nil {
		binary.LittleEndian.PutUint64(b.slot, 0)
	}
}

// readTail reads a tail file and converts it to a trace file with an index. It reports whether its process is running.
func readTail(path string) (*File, bool, error) {
	in, err := os.Open(path)
	if err != nil {
		return nil, false, err
	}
	defer in.Close()
	running := unix.Flock(int(in.Fd()), unix.LOCK_SH|unix.LOCK_NB) != nil
	info, err := in.Stat()
	if err != nil {
		return nil, false, err
	}
	if info.Size() != tailHeaderBytes+bufferCount*slotBytes {
		return nil, running, fmt.Errorf("%s: %w: tail file of %d bytes", path, ErrDamaged, info.Size())
	}
	data := make([]byte, info.Size())
	if _, err := in.ReadAt(data, 0); err != nil {
		return nil, running, err
	}
	h := &tracepb.Header{}
	n := binary.LittleEndian.Uint32(data[tailLengthOffset:])
	if !bytes.Equal(data[:tailLengthOffset], tailMarker[:]) || n > tailHeaderBytes-tailMessageOffset ||
		proto.Unmarshal(data[tailMessageOffset:tailMessageOffset+n], h) != nil {
		return nil, running, fmt.Errorf("%s: %w", path, ErrNoTrace)
	}
	type usedSlot struct {
		number  uint64
		first   int64
		records []byte
	}
	var used []usedSlot
	for i := 0; i < bufferCount; i++ {
		slot := data[tailHeaderBytes+i*slotBytes:][:slotBytes]
		number, size := binary.LittleEndian.Uint64(slot), binary.LittleEndian.Uint64(slot[slotSizeOffset:])
		if number != 0 && size > 0 && size <= slotBytes-slotHeaderBytes {
			used = append(used, usedSlot{number, int64(binary.LittleEndian.Uint64(slot[slotFirstOffset:])), slot[slotHeaderBytes : slotHeaderBytes+size]})
		}
	}
	sort.Slice(used, func(i, j int) bool { return used[i].number < used[j].number })
	var out bytes.Buffer
	w, err := newFileWriter(&out, h)
	if err != nil {
		return nil, running, err
	}
	for _, u := range used {
		frame, info, err := w.enc.encodeBlock(u.first, u.records)
		if err != nil {
			return nil, running, fmt.Errorf("%s: %w", path, err)
		}
		info.Number = u.number
		// Encode the frame again, with the block's number.
		if frame, info, err = w.enc.encodeBlockWithInfo(info, w.enc.keys, u.records); err != nil {
			return nil, running, err
		}
		w.index.Blocks = append(w.index.Blocks, w.enc.indexEntry(w.size, info))
		if err := w.write(frame); err != nil {
			return nil, running, err
		}
	}
	if err := w.close(); err != nil {
		return nil, running, err
	}
	f, err := Open(bytes.NewReader(out.Bytes()), int64(out.Len()))
	return f, running, err
}

const (
	// lockReleaseWait is the time for which the lock of a killed process can outlive it. The kernel closes the process's
	// files after wait(2) has returned for it, tens of milliseconds later on a busy machine.
	lockReleaseWait = 250 * time.Millisecond

	// lockRetryInterval is the time between two attempts to get such a lock.
	lockRetryInterval = 5 * time.Millisecond
)

// recoverTails writes the blocks that terminated processes left in tail files to segments of their runs and removes the
// tail files. It skips tail files of running processes and of other trace directories. header is that of the new run.
func recoverTails(dir Directory, tailDir string, header *tracepb.Header) error {
	disk, isDisk := dir.(OSDirectory)
	paths, err := filepath.Glob(filepath.Join(tailDir, "dunegrade-*"+TailSuffix))
	if err != nil || !isDisk {
		return err
	}
	ownDir, err := filepath.Abs(string(disk))
	if err != nil {
		return err
	}
	var errs []error
	deadline := time.Now().Add(lockReleaseWait)
	for _, path := range paths {
		if path == tailPath(tailDir, header.Life) {
			continue
		}
		f, running, err := readTail(path)
		// The lock of this sentry's previous run may be held for a moment longer. Without the wait, an edge that is restarted
		// at once would take that run's process for a running one and leave its last records out until the next start.
		for running && err == nil && f.Header.Folder == ownDir && f.Header.Edge == header.Edge && f.Header.Sentry == header.Sentry &&
			time.Now().Before(deadline) {
			f.Close()
			time.Sleep(lockRetryInterval)
			f, running, err = readTail(path)
		}
		if err != nil {
			continue // unreadable: keep the file, as it may belong to another program
		}
		if !running && f.Header.Folder == ownDir {
			errs = append(errs, recoverTail(disk, path, f))
		}
		f.Close()
	}
	return errors.Join(errs...)
}

// recoverTail writes those blocks of a tail file that are in no segment yet to a new segment, and removes the tail file.
func recoverTail(dir OSDirectory, path string, f *File) error {
	segments, err := dir.List()
	if err != nil {
		return err
	}
	run := &segmentWriter{dir: dir, header: f.Header}
	nextSegment, lastNumber := uint32(0), uint64(0)
	for _, seg := range segments {
		if !strings.HasPrefix(seg.Name, run.namePrefix()) {
			continue
		}
		old, done, err := OpenPath(filepath.Join(string(dir), seg.Name))
		if err != nil {
			continue // the segment has no readable header, so it has no readable blocks
		}
		nextSegment = max(nextSegment, old.Header.Segment+1)
		for _, b := range old.Blocks {
			lastNumber = max(lastNumber, b.Block.Number)
		}
		done()
	}
	h := proto.Clone(f.Header).(*tracepb.Header)
	h.Segment = nextSegment
	var out bytes.Buffer
	w, err := newFileWriter(&out, h)
	if err != nil {
		return err
	}
	found := false
	for i := range f.Blocks {
		if f.Blocks[i].Block.Number <= lastNumber {
			continue
		}
		_, frame, _, err := f.readFrame(int64(f.Blocks[i].Offset))
		if err != nil {
			return err
		}
		found = true
		frame = appendFrame(nil, frameKindBlock, frame)
		entry := proto.Clone(f.Blocks[i]).(*tracepb.Index_Entry)
		entry.Offset = w.size
		w.index.Blocks = append(w.index.Blocks, entry)
		if err := w.write(frame); err != nil {
			return err
		}
	}
	if found {
		if err := w.close(); err != nil {
			return err
		}
		file, err := dir.Create(fmt.Sprintf("%s%06d%s", run.namePrefix(), nextSegment, SegmentSuffix))
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
