package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run. Times are seconds since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), start: time.Now()}, nil
}

// now returns the time since the start of the case.
func (r *record) now() time.Duration { return time.Since(r.start) }

// at returns a time as one since the start of the case.
func (r *record) at(t time.Time) time.Duration { return t.Sub(r.start) }

// line writes one line with the present time.
func (r *record) line(format string, args ...any) { r.lineAt(r.now(), format, args...) }

// lineAt writes one line with the given time.
func (r *record) lineAt(at time.Duration, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.6f %s\n", at.Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
