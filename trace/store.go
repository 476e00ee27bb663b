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

// Directory holds segments. OSDirectory is the implementation by the operating system; tests use ones that fail.
type Directory interface {
	Create(name string) (io.WriteCloser, error)
	Remove(name string) error
	List() ([]Segment, error)
	// Replace writes a small file atomically: after a crash either the old or the new content is there in whole.
	Replace(name string, data []byte) error
}

// Segment is a segment file in a directory.
type Segment struct {
	Name string    `json:"name"`
	Size int64     `json:"size"` // bytes
	Last time.Time `json:"last"` // time of the last write
}

// Disk is the path of a directory of the operating system.
type Disk string

// Create creates a file, and the directory if need be; it fails if the file exists.
func (d Disk) Create(name string) (io.WriteCloser, error) {
	if err := os.MkdirAll(string(d), 0o755); err != nil {
		return nil, err
	}
	return os.OpenFile(filepath.Join(string(d), name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
}

// Remove deletes a file.
func (d Disk) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// List returns the directory's segments, the oldest first.
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

// Replace writes a temporary file and renames it.
func (d Disk) Replace(name string, data []byte) error {
	tmp := filepath.Join(string(d), name+".new")
	if err := os.WriteFile(tmp, data, 0o644); err != nil {
		return err
	}
	return os.Rename(tmp, filepath.Join(string(d), name))
}

// Suffix is the file name suffix of segments.
const Suffix = ".dgt"

const manifestName = "manifest.json"

// Keep limits the size and age of segments and the space they take.
type Keep struct {
	SegmentBytes int64         // a segment is closed at this size
	SegmentAge   time.Duration // or at this age
	TotalBytes   int64         // limit for all segments of the directory together; the oldest are deleted first
}

// segmentWriter writes the segments of one run of a sentry. It must be used by one goroutine at a time.
type segmentWriter struct {
	dir       Directory
	retention Keep
	header    *tracepb.Header
	enc       *encoder
	file      io.WriteCloser // current segment; nil: none
	name      string
	size      int64 // bytes written to the current segment
	opened    time.Time
	index     tracepb.Index
	segment   uint32 // number of the next segment
}

// namePrefix returns the part of the segments' names that is common to the run.
func (s *segmentWriter) namePrefix() string {
	return fmt.Sprintf("%s-s%d-%016x-", s.header.Edge, s.header.Sentry, s.header.Life)
}

// openSegment creates a segment and writes its header. clock is the sentry clock at its start.
func (s *segmentWriter) openSegment(now time.Time, clock int64) error {
	h := proto.Clone(s.header).(*tracepb.Header)
	// The wall time is derived from the sentry clock, which never steps. Steps of the wall clock since the run's start are
	// not reflected in it.
	h.Segment, h.Wall, h.Start = s.segment, h.Wall+clock-h.Start, clock
	frame, err := headerFrame(h)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%06d%s", s.namePrefix(), s.segment, Suffix)
	s.segment++ // the name is not used again after a failure, as a part of the file may exist
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

// appendBlock writes a block. It begins a new segment if there is none or the current one is full or too old.
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

// abandon closes a segment without writing its index. Readers find its blocks by reading through it.
func (s *segmentWriter) abandon() {
	if s.file != nil {
		s.file.Close()
		s.file = nil
	}
}

// close writes the index of the current segment and closes it.
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

// manifest is a list of the directory's segments for people and tools. The directory itself is authoritative: a manifest
// that is out of date after a crash is rewritten from it.
type manifest struct {
	Version  int       `json:"version"`
	Segments []Segment `json:"segments"`
}

// enforceRetention deletes the oldest segments, except the current one, until a whole new segment fits below TotalBytes,
// and rewrites the manifest. Failures do not affect recording; the next segment tries again.
func (s *segmentWriter) enforceRetention() {
	segments, err := s.dir.List()
	if err != nil {
		return
	}
	total := int64(0)
	for _, seg := range segments {
		total += seg.Size
	}
	kept := segments[:0]
	for _, seg := range segments {
		if total > s.retention.TotalBytes-s.retention.SegmentBytes && seg.Name != s.name {
			if s.dir.Remove(seg.Name) == nil || errors.Is(err, os.ErrNotExist) {
				total -= seg.Size
				continue
			}
		}
		kept = append(kept, seg)
	}
	data, err := json.MarshalIndent(manifest{1, kept}, "", "  ")
	if err == nil {
		s.dir.Replace(manifestName, data)
	}
}
