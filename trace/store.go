package trace

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"dunegrade/trace/tracepb"
)

// Directory is where segments lie. The one of the operating system is Disk; tests hand in ones that fail.
type Directory interface {
	Create(name string) (io.WriteCloser, error)
	Remove(name string) error
	List() ([]Segment, error)
	// Replace puts a small file in place of another, so that a crash leaves the one or the other whole.
	Replace(name string, data []byte) error
}

// Segment is a file of a folder.
type Segment struct {
	Name string    `json:"name"`
	Size int64     `json:"size"`
	Last time.Time `json:"last"`
}

// Disk is a folder of the operating system.
type Disk string

// Create makes a file that must not be there yet.
func (d Disk) Create(name string) (io.WriteCloser, error) {
	if err := os.MkdirAll(string(d), 0o755); err != nil {
		return nil, err
	}
	return os.OpenFile(filepath.Join(string(d), name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
}

// Remove deletes a file.
func (d Disk) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// List gives the folder's segments, the oldest first.
func (d Disk) List() ([]Segment, error) {
	entries, err := os.ReadDir(string(d))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var out []Segment
	for _, e := range entries {
		info, err := e.Info()
		if err == nil && strings.HasSuffix(e.Name(), Suffix) {
			out = append(out, Segment{e.Name(), info.Size(), info.ModTime()})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Last.Before(out[j].Last) })
	return out, nil
}

// Replace writes beside and renames.
func (d Disk) Replace(name string, data []byte) error {
	tmp := filepath.Join(string(d), name+".new")
	if err := os.WriteFile(tmp, data, 0o644); err != nil {
		return err
	}
	return os.Rename(tmp, filepath.Join(string(d), name))
}

// Suffix is what segments' names end in.
const Suffix = ".dgt"

const manifestName = "manifest.json"

// Keep says how long traces are kept.
type Keep struct {
	SegmentBytes int64         // a segment is closed at this size
	SegmentAge   time.Duration // or at this age
	TotalBytes   int64         // all segments of the folder together; the oldest go first
}

// segmentWriter writes the segments of one sentry's life. It is for one goroutine.
type segmentWriter struct {
	dir       Directory
	retention Keep
	header    *tracepb.Header
	enc       *encoder
	file      io.WriteCloser
	name      string
	size      int64
	opened    time.Time
	index     tracepb.Index
	segment   uint32
}

func (s *segmentWriter) namePrefix() string {
	return fmt.Sprintf("%s-s%d-%016x-", s.header.Edge, s.header.Sentry, s.header.Life)
}

// openSegment begins a segment.
func (s *segmentWriter) openSegment(now time.Time, clock int64) error {
	h := proto.Clone(s.header).(*tracepb.Header)
	// The sentry's clock does not step; what the wall clock did since the start is not known of this moment.
	h.Segment, h.Wall, h.Start = s.segment, h.Wall+clock-h.Start, clock
	frame, err := headerFrame(h)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%06d%s", s.namePrefix(), s.segment, Suffix)
	s.segment++ // a name that failed is not tried again: something of it may stand there
	file, err := s.dir.Create(name)
	if err != nil {
		return err
	}
	if _, err := file.Write(frame); err != nil {
		file.Close()
		return err
	}
	s.file, s.name, s.size, s.opened, s.index = file, name, int64(len(frame)), now, tracepb.Index{}
	s.enforceRetention()
	return nil
}

// appendBlock writes a block, in a new segment where the present one is full or old.
func (s *segmentWriter) appendBlock(now time.Time, b *block) error {
	frame, info, err := s.enc.encodeBlockWithInfo(proto.Clone(&b.info).(*tracepb.Block), b.keys, b.records)
	if err != nil {
		return err
	}
	if s.file != nil && (s.size+int64(len(frame)) > s.retention.SegmentBytes || now.Sub(s.opened) > s.retention.SegmentAge) {
		if err := s.close(); err != nil {
			return err
		}
	}
	if s.file == nil {
		if err := s.openSegment(now, b.info.First); err != nil {
			return err
		}
	}
	if _, err := s.file.Write(frame); err != nil {
		s.abandon()
		return err
	}
	s.index.Blocks = append(s.index.Blocks, s.enc.indexEntry(uint64(s.size), info))
	s.size += int64(len(frame))
	return nil
}

// abandon leaves a segment as it is; a reader finds its blocks without an index.
func (s *segmentWriter) abandon() {
	if s.file != nil {
		s.file.Close()
		s.file = nil
	}
}

// close ends a segment with its index.
func (s *segmentWriter) close() error {
	if s.file == nil {
		return nil
	}
	frame, err := indexFrame(&s.index)
	if err == nil {
		_, err = s.file.Write(frame)
	}
	if cerr := s.file.Close(); err == nil {
		err = cerr
	}
	s.file = nil
	return err
}

// manifest lists the folder for people and tools. The folder itself is the truth: a manifest that lags after a
// crash is made anew from it.
type manifest struct {
	Version  int       `json:"version"`
	Segments []Segment `json:"segments"`
}

// enforceRetention deletes the oldest segments over the bound, never the present one, and renews the manifest. A failure
// costs no txn its trace; the next segment tries again.
func (s *segmentWriter) enforceRetention() {
	list, err := s.dir.List()
	if err != nil {
		return
	}
	sum := int64(0)
	for _, x := range list {
		sum += x.Size
	}
	kept := list[:0]
	for _, x := range list {
		if sum > s.retention.TotalBytes-s.retention.SegmentBytes && x.Name != s.name {
			if s.dir.Remove(x.Name) == nil || errors.Is(err, os.ErrNotExist) {
				sum -= x.Size
				continue
			}
		}
		kept = append(kept, x)
	}
	data, err := json.MarshalIndent(manifest{1, kept}, "", "  ")
	if err == nil {
		s.dir.Replace(manifestName, data)
	}
}
