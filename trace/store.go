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

// Directory stores segments. OSDirectory implements it on the operating system's file system; tests use implementations
// that fail.
type Directory interface {
	// Create creates a file that does not exist yet.
	Create(name string) (io.WriteCloser, error)
	// Remove deletes a file.
	Remove(name string) error
	// List returns the segments, the oldest first.
	List() ([]Segment, error)
	// Replace writes a small file atomically: after a crash it has either its old or its new content.
	Replace(name string, data []byte) error
}

// Segment is a segment file in a directory.
type Segment struct {
	Name string    `json:"name"`
	Size int64     `json:"size"` // bytes
	Last time.Time `json:"last"` // time of the last write
}

// OSDirectory is a directory in the operating system's file system, given by its path.
type OSDirectory string

// Create creates a file, and the directory if it does not exist. It fails if the file exists.
func (d OSDirectory) Create(name string) (io.WriteCloser, error) {
	if err := os.MkdirAll(string(d), 0o755); err != nil {
		return nil, err
	}
	return os.OpenFile(filepath.Join(string(d), name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
}

// Remove deletes a file.
func (d OSDirectory) Remove(name string) error { return os.Remove(filepath.Join(string(d), name)) }

// List returns the directory's segments, the oldest first.
func (d OSDirectory) List() ([]Segment, error) {
	entries, err := os.ReadDir(string(d))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var segments []Segment
	for _, e := range entries {
		info, err := e.Info()
		if err == nil && strings.HasSuffix(e.Name(), SegmentSuffix) {
			segments = append(segments, Segment{e.Name(), info.Size(), info.ModTime()})
		}
	}
	sort.Slice(segments, func(i, j int) bool { return segments[i].Last.Before(segments[j].Last) })
	return segments, nil
}

// Replace writes a temporary file and renames it to name.
func (d OSDirectory) Replace(name string, data []byte) error {
	tmp := filepath.Join(string(d), name+".new")
	if err := os.WriteFile(tmp, data, 0o644); err != nil {
		return err
	}
	return os.Rename(tmp, filepath.Join(string(d), name))
}

// SegmentSuffix is the file name suffix of segments.
const SegmentSuffix = ".dgt"

const (
	manifestName    = "manifest.json"
	manifestVersion = 1
)

// Retention limits the size and age of segments, and the space that they take in total.
type Retention struct {
	SegmentBytes int64         // a segment is closed at this size
	SegmentAge   time.Duration // or at this age
	TotalBytes   int64         // limit on the size of all segments in the directory; the oldest are deleted first
}

// segmentWriter writes the segments of one run of a sentry. It must be used by one goroutine at a time.
type segmentWriter struct {
	dir       Directory
	retention Retention
	header    *tracepb.Header
	enc       *encoder
	file      io.WriteCloser // current segment; nil: none
	name      string
	size      int64 // bytes written to the current segment
	opened    time.Time
	index     tracepb.Index // of the current segment
	segment   uint32        // number of the next segment
}

// namePrefix returns the prefix that the names of all segments of the run share.
func (s *segmentWriter) namePrefix() string {
	return fmt.Sprintf("%s-s%d-%016x-", s.header.Edge, s.header.Sentry, s.header.Life)
}

// openSegment creates a segment and writes its header. clock is the sentry clock at its start.
func (s *segmentWriter) openSegment(now time.Time, clock int64) error {
	h := proto.Clone(s.header).(*tracepb.Header)
	// The wall time is extrapolated from the run's start by the sentry clock, which never steps. Steps of the wall clock
	// since then do not affect it.
	h.Segment, h.Wall, h.Start = s.segment, h.Wall+clock-h.Start, clock
	frame, err := headerFrame(h)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s%06d%s", s.namePrefix(), s.segment, SegmentSuffix)
	s.segment++ // the name is not reused after a failure, because a partial file may exist
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

// abandon closes the current segment without writing its index. Readers find its blocks by reading through the file.
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

// manifest lists the directory's segments for people and tools. The directory itself is authoritative: a manifest that is
// out of date after a crash is rewritten from it.
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
	data, err := json.MarshalIndent(manifest{manifestVersion, kept}, "", "  ")
	if err == nil {
		s.dir.Replace(manifestName, data)
	}
}
