package trace

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

const (
	blockBytes      = 128 << 10 // records of a block, before they are packed
	buffers         = 16        // of a sentry: what is written may lag by so many blocks
	reservedBuffers = 4         // of them are for what has begun: new txns are not recorded when no more are free
	flushAge        = int64(time.Second)
	retryWait       = time.Second
)

// Recorder records one sentry. Its methods but Close are for the sentry's event loop, and never wait for a disk: what
// the writer has not taken yet lies in a bounded number of buffers, and when these run out, whole txns are left out and
// counted.
type Recorder struct {
	cur     *block // nil: no room
	last    int64
	serial  uint64 // of the TAKE before in this block
	workers map[logic.WorkerID]*named
	number  uint32 // of the block
	rec     Record
	begun   begun
	news    []byte   // as last told
	hold    *holder  // nil where all is written at once
	spare   []*block // the loop's own; the last one used is still in the cache
	tail    *tail    // nil: none
	blocks  uint64   // begun so far
	free    chan *block
	full    chan *block
	done    chan struct{}
	log     *zap.Logger
	store   *store

	skipped   uint64 // txns not recorded since the last gap was noted
	torn      uint32 // other records that found no room
	since     int64
	Skipped   atomic.Uint64 // in all; any goroutine
	lostBlock atomic.Uint64 // txns taken in blocks that could not be written
	lostSince atomic.Int64
}

type named struct {
	number, block uint32
	build         uint64
}

// begun is a TAKE that is not written yet: what the module nearly always does at once goes into the same record.
type begun struct {
	open, sent bool
	txn        logic.Txn
	serial     uint64
	trace      [2]uint64
	worker     uint32
}

// block is a buffer of records with what is known of them.
type block struct {
	slot    []byte // of the tail; nil: none
	records []byte
	keys    []uint64
	info    tracepb.Block
	taken   uint64 // txns that are missing if it is lost: taken in it, or told missing in it
	since   int64  // from when on they are
}

// NewRecorder starts a recorder with its writer, one goroutine, ended by Close. settings are what the module is given;
// the header's Wall and Start are the present moment by the wall clock and the sentry's.
func NewRecorder(folder Folder, keep Keep, header *tracepb.Header, settings map[string]any, log *zap.Logger) (*Recorder, error) {
	return NewTailed(folder, "", keep, header, settings, log)
}

// NewTailed does the same with a tail in the folder tails, which should be of a file system in memory; "" for none. What
// dead processes left there of traces in the same folder is put into segments first.
func NewTailed(folder Folder, tails string, keep Keep, header *tracepb.Header, settings map[string]any, log *zap.Logger) (*Recorder, error) {
	h := proto.Clone(header).(*tracepb.Header)
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("trace: settings: %w", err)
	}
	sum := sha256.Sum256(data)
	h.Version, h.Settings, h.SettingsDigest, h.Module = Version, data, hex.EncodeToString(sum[:8]), logic.Version()
	enc, err := newEncoder()
	if err != nil {
		return nil, err
	}
	k := &Recorder{workers: map[logic.WorkerID]*named{}, free: make(chan *block, buffers), full: make(chan *block, buffers),
		done: make(chan struct{}), log: log, store: &store{folder: folder, keep: keep, header: h, enc: enc}, number: 1}
	if h.Level != LevelWhole {
		k.hold = newHolder(h.Level, h.OneIn)
	}
	if tails != "" {
		x := proto.Clone(h).(*tracepb.Header)
		if dir, ok := folder.(Disk); ok {
			if x.Folder, err = filepath.Abs(string(dir)); err != nil {
				return nil, err
			}
		}
		if k.tail, err = newTail(tails, x); err != nil {
			log.Warn("no tail for traces: a kill loses up to a second of them", zap.Error(err))
		}
	}
	for i := 0; i < buffers; i++ {
		b := &block{keys: make([]uint64, 0, 4096)}
		if k.tail != nil {
			b.slot = k.tail.slot(i)
		} else {
			b.records = make([]byte, 0, blockBytes+blockBytes/4)
		}
		k.spare = append(k.spare, b)
	}
	go k.write(tails)
	return k, nil
}

// write packs blocks and writes them. When that fails it says so once, drops what comes, and tries again each
// second with a new segment, which begins by telling what is missing.
func (k *Recorder) write(tails string) {
	defer close(k.done)
	if tails != "" {
		if err := rescue(k.store.folder, tails, k.store.header); err != nil {
			k.log.Warn("traces of a process that died stay in its tail", zap.Error(err))
		}
	}
	failing := false
	var next time.Time
	for s := range k.full {
		now := time.Now()
		if failing && now.Before(next) {
			k.lose(s)
			continue
		}
		err := k.store.append(now, s)
		if err != nil {
			k.lose(s)
			next = now.Add(retryWait)
			if !failing {
				k.log.Warn("traces cannot be written, txns go on without", zap.Error(err))
			}
			failing = true
			continue
		}
		if failing {
			k.log.Info("traces are written again", zap.Uint64("txns-not-recorded", k.lostBlock.Load()))
			failing = false
		}
		s.free()
		k.free <- s
	}
	if k.tail != nil {
		defer k.tail.close()
	}
	if err := k.store.close(); err != nil && !failing {
		k.log.Warn("the last trace segment has no index", zap.Error(err))
	}
}

func (k *Recorder) lose(s *block) {
	k.store.abandon()
	k.lostSince.CompareAndSwap(0, s.since)
	k.lostBlock.Add(s.taken)
	s.free()
	k.free <- s
}

// Close ends the recording: call it from the loop, or when the loop has ended. It waits for the writer.
func (k *Recorder) Close(now logic.Nanos) {
	if k.hold != nil {
		k.hold.flush(k, now)
	}
	if !k.ready(now) {
		close(k.full)
		<-k.done
		return
	}
	k.rec = Record{Kind: tracepb.Kind_END, At: int64(now)}
	k.put()
	k.ship()
	close(k.full)
	<-k.done
}

// freeBuffers gives how many buffers are free.
func (k *Recorder) freeBuffers() int { return len(k.spare) + len(k.free) }

// ready makes room for a record and tells whether there is any. What was left out before is told first.
func (k *Recorder) ready(now logic.Nanos) bool {
	if k.begun.open {
		k.settle()
	}
	if k.cur != nil && len(k.cur.records) >= blockBytes {
		k.ship()
	}
	if k.cur == nil && !k.next(now) {
		return false
	}
	if k.skipped > 0 || k.torn > 0 || k.lostBlock.Load() > 0 {
		k.gap(now)
	}
	return true
}

// next takes a buffer for the next block, the one that was used last.
func (k *Recorder) next(now logic.Nanos) bool {
	for more := true; more; {
		select {
		case b := <-k.free:
			k.spare = append(k.spare, b)
		default:
			more = false
		}
	}
	if len(k.spare) == 0 {
		if k.since == 0 {
			k.since = int64(now)
		}
		k.torn++
		return false
	}
	b := k.spare[len(k.spare)-1]
	k.spare = k.spare[:len(k.spare)-1]
	k.cur, k.last, k.serial = b, int64(now), 0
	k.number++
	b.records, b.keys, b.taken, b.since = b.records[:0], b.keys[:0], 0, int64(now)
	names, builds := b.info.Names[:0], b.info.Builds[:0]
	b.info.Reset()
	b.info.Names, b.info.Builds = names, builds
	k.blocks++
	b.info.First, b.info.Number = int64(now), k.blocks
	b.begin(k.blocks)
	if k.news != nil {
		k.rec = Record{Kind: tracepb.Kind_STANDING, At: int64(now), Body: k.news}
		k.put()
	}
	return true
}

// gap tells what is missing, once there is room for txns again.
func (k *Recorder) gap(now logic.Nanos) {
	lost := k.lostBlock.Swap(0)
	if lost > 0 || (k.skipped > 0 || k.torn > 0) && k.freeBuffers() >= reservedBuffers {
		since := k.since
		if at := k.lostSince.Swap(0); at != 0 && (since == 0 || at < since) {
			since = at
		}
		k.rec = Record{Kind: tracepb.Kind_GAP, At: int64(now), Number: k.torn, Token: lost + k.skipped, Span: uint64(max(0, int64(now)-since))}
		k.put()
		// Danger: this block can be lost as well, and what it tells with it.
		k.cur.taken += lost + k.skipped
		if since != 0 {
			k.cur.since = min(k.cur.since, since)
		}
		k.skipped, k.torn, k.since = 0, 0, 0
	}
}

func (k *Recorder) put() {
	if k.cur == nil {
		return
	}
	k.cur.records = k.rec.Append(k.cur.records, k.last)
	k.cur.grow()
	k.cur.info.Records++
	k.cur.info.Kinds |= kindBit(k.rec.Kind)
	k.last = k.rec.At
}

// open begins a record of a frequent kind at the buffer's end, and close ends it.
func (k *Recorder) open(kind Kind, now int64) (b []byte, at int) {
	at = len(k.cur.records)
	b = append(k.cur.records, 0, 0, byte(tagKind), byte(kind))
	return putSpan(b, tagAfter, uint64(now-k.last)), at
}

func kindBit(k Kind) uint64 { return 1 << (uint64(k) & 63) * (1 - uint64(k)>>6) }

func (k *Recorder) close(b []byte, at int, now int64) {
	k.cur.records = length(b, at)
	k.cur.grow()
	k.cur.info.Records++
	k.cur.info.Kinds |= kindBit(Kind(k.cur.records[at+3]))
	k.last = now
}

// ship hands the present block to the writer. There is room: there are no more buffers than that.
func (k *Recorder) ship() {
	if k.begun.open {
		k.settle()
	}
	if k.cur == nil || len(k.cur.records) == 0 {
		return
	}
	k.cur.info.Last, k.cur.info.Size = k.last, uint32(len(k.cur.records))
	k.full <- k.cur
	k.cur = nil
}

// Flush ships a block that has waited for a second, so that a crash costs no more, or, where a tail keeps it over a
// crash, for ten: larger blocks pack better. Call it on each beat.
func (k *Recorder) Flush(now logic.Nanos) {
	if k.hold != nil {
		k.hold.tell(k, now)
	}
	age := flushAge
	if k.tail != nil {
		age *= 10
	}
	if k.cur != nil && len(k.cur.records) > 0 && int64(now)-k.cur.info.First > age {
		k.ship()
	}
}

// worker gives a worker's number in this block, naming it where it is new to it. ready was asked before.
func (k *Recorder) worker(now logic.Nanos, id logic.WorkerID) uint32 {
	n := k.workers[id]
	if n == nil {
		n = &named{}
		k.workers[id] = n
	}
	if n.block != k.number {
		k.cur.info.Workers++
		n.number, n.block = k.cur.info.Workers, k.number
		k.cur.noteWorker(string(id), int64(n.build))
		k.rec = Record{Kind: tracepb.Kind_WORKER, At: int64(now), Worker: n.number, Text: string(id), Token: n.build}
		k.put()
	}
	return n.number
}

// Start records that the module begins.
func (k *Recorder) Start(now logic.Nanos, seed int64) {
	if k.ready(now) {
		k.rec = Record{Kind: tracepb.Kind_START, At: int64(now), Token: uint64(seed)}
		k.put()
	}
}

// List records a list event.
func (k *Recorder) List(now logic.Nanos, mode logic.ListMode, list []logic.Worker) {
	l := &tracepb.List{}
	for _, w := range list {
		n := k.workers[w.ID]
		if n == nil {
			n = &named{}
			k.workers[w.ID] = n
		}
		if n.build != uint64(w.Rel) {
			n.build, n.block = uint64(w.Rel), 0 // it is named anew
		}
		l.Workers = append(l.Workers, &tracepb.List_Worker{Id: string(w.ID), Zone: int64(w.Zone), Kind: int64(w.Kind), Cell: int64(w.Cell),
			State: int64(w.State), Weight: w.Weight, Build: int64(w.Rel), Start: int64(w.Start)})
	}
	k.message(now, Record{Kind: tracepb.Kind_LIST, Number: uint32(mode)}, l)
}

// News records news of the newest build.
func (k *Recorder) News(now logic.Nanos, n logic.ReleaseUpdate) {
	m := &tracepb.News{Stage: int64(n.Stage), Answer: n.VoteReply, Build: int64(n.Rel), Cap: n.Cap, Phase: int64(n.Phase), Age: int64(n.Age),
		Ending: int64(n.Ending)}
	k.message(now, Record{Kind: tracepb.Kind_NEWS}, m)
	if n.Ending == logic.OK {
		if data, err := proto.Marshal(m); err == nil {
			k.news = data
		}
	}
}

// Tally records the platform's count.
func (k *Recorder) Tally(now logic.Nanos, t logic.Tally) {
	k.message(now, Record{Kind: tracepb.Kind_TALLY}, &tracepb.Tally{Build: int64(t.Rel), Product: int64(t.Product), Many: int64(t.Many),
		Bad: int64(t.Bad), Mean: int64(t.Mean)})
}

func (k *Recorder) message(now logic.Nanos, r Record, m proto.Message) {
	body, err := proto.Marshal(m)
	if err != nil || !k.ready(now) {
		return
	}
	r.At, r.Body = int64(now), body
	k.rec = r
	k.put()
}

// Contested records that an answer was found wrong.
func (k *Recorder) Contested(now logic.Nanos, p logic.ProductID, id logic.WorkerID, age logic.Nanos) {
	if k.ready(now) {
		n := k.worker(now, id)
		k.rec = Record{Kind: tracepb.Kind_CONTESTED, At: int64(now), Product: uint32(p), Worker: n, Span: uint64(age)}
		k.put()
	}
}

// Told records a message of another sentry, Tell one to it.
func (k *Recorder) Told(now logic.Nanos, from int, data []byte) {
	k.bytes(now, tracepb.Kind_TOLD, from, data)
}
func (k *Recorder) Tell(now logic.Nanos, to int, data []byte) {
	k.bytes(now, tracepb.Kind_TELL, to, data)
}

func (k *Recorder) bytes(now logic.Nanos, kind Kind, number int, data []byte) {
	if k.ready(now) {
		k.rec = Record{Kind: kind, At: int64(now), Number: uint32(number), Body: data}
		k.put()
	}
}

// Take records a txn by its serial, and tells whether it did: the records that follow of one that was left out must be
// left out too. high and low are the trace id that the client sent; zeros where it sent none.
func (k *Recorder) Take(now logic.Nanos, t *logic.Txn, serial, high, low uint64) bool {
	if len(k.spare) < reservedBuffers && k.freeBuffers() < reservedBuffers || !k.ready(now) {
		if k.skipped == 0 && k.since == 0 {
			k.since = int64(now)
		}
		k.skipped++
		k.Skipped.Add(1)
		return false
	}
	if k.hold != nil {
		k.hold.take(now, t, serial, high, low)
		return true
	}
	k.begun = begun{open: true, txn: *t, serial: serial, trace: [2]uint64{high, low}}
	k.begun.txn.Expiry -= now
	k.rec.At = int64(now)
	return true
}

// Settle writes what waits to be put into one record with what may follow. Call it when the module has nothing more to
// do, so that a kill finds all of it written.
func (k *Recorder) Settle() {
	if k.begun.open {
		k.settle()
	}
}

// settle writes the TAKE that was begun.
func (k *Recorder) settle() { k.finish(0, 0) }

// finish writes the TAKE that was begun, with the REMIND that came of it, if any.
func (k *Recorder) finish(token, span uint64) {
	t := &k.begun
	t.open = false
	now := k.rec.At
	b, at := k.open(tracepb.Kind_TAKE, now)
	b = putUint(b, tagTxn, uint64(t.txn.ID))
	b = putUint(b, tagWorker, uint64(t.worker))
	b = putUint(b, tagProduct, uint64(t.txn.Product))
	b = putUint(b, tagCustomer, uint64(t.txn.Customer))
	b = putFixed(b, 8, uint64(t.txn.Key))
	b = putSpan(b, tagCost, uint64(t.txn.Cost))
	b = putUint(b, tagRepeat, flag(t.txn.Repeat))
	b = putSpan(b, tagPatience, uint64(t.txn.Expiry))
	b = putUint(b, tagToken, token)
	b = putSpan(b, tagSpan, span)
	if t.serial != k.serial+1 || k.serial == 0 {
		b = putUint(b, tagSerial, t.serial)
	}
	if t.trace != [2]uint64{} {
		b = putFixed(b, 24, t.trace[0])
		b = putFixed(b, 25, t.trace[1])
	}
	k.close(b, at, now)
	k.serial = t.serial
	k.cur.noteTake(t.serial, uint64(t.txn.Key), t.trace, uint64(t.txn.Product))
}

// noteTake adds a txn to what the block is known to hold.
func (b *block) noteTake(serial, key uint64, id [2]uint64, product uint64) {
	b.taken++
	b.info.Products |= 1 << min(product, 63)
	if b.info.FirstSerial == 0 || serial < b.info.FirstSerial {
		b.info.FirstSerial = serial
	}
	b.info.LastSerial = max(b.info.LastSerial, serial)
	if key != 0 {
		b.keys = append(b.keys, key)
	}
	if id != [2]uint64{} {
		b.keys = append(b.keys, id[0]^id[1])
	}
}

// namesTold is how many workers' names a block's description holds; where there are more, none: it would outgrow the
// block.
const namesTold = 64

// noteWorker adds a worker and its build.
func (b *block) noteWorker(id string, build int64) {
	if b.info.Workers <= namesTold {
		b.info.Names = append(b.info.Names, id)
	} else {
		b.info.Names = b.info.Names[:0]
	}
	if build != 0 && !slices.Contains(b.info.Builds, build) {
		b.info.Builds = append(b.info.Builds, build)
	}
}

// Outcome records the end of a submission, with the status that the client was sent, 0 if this did not answer it.
func (k *Recorder) Outcome(now logic.Nanos, o *logic.Outcome, status int) {
	if k.hold != nil {
		k.hold.outcome(now, o, status)
		return
	}
	if !k.ready(now) {
		return
	}
	b, at := k.open(tracepb.Kind_OUTCOME, int64(now))
	b = putUint(b, tagTxn, uint64(o.Txn))
	b = putUint(b, tagNumber, uint64(o.Number))
	b = putUint(b, tagEnding, uint64(o.Ending))
	b = putSpan(b, tagElapsed, uint64(o.Elapsed))
	if o.Final {
		b = append(b, byte(tagOver), 1)
	}
	if o.Load != nil {
		b = putLoads(b, o.Load.Util, o.Load.Queue, o.Load.Busy)
	}
	k.close(putUint(b, tagToken, uint64(status)), at, int64(now))
}

// Event records one of the kinds that are no more than numbers.
func (k *Recorder) Event(now logic.Nanos, kind Kind, txn logic.TxnID, number int, token, span uint64) {
	if k.begun.open && kind == tracepb.Kind_REMIND && token != 0 && k.begun.sent && int64(now) == k.rec.At {
		k.begun.sent = false
		k.finish(token, span)
		return
	}
	if k.hold != nil && !k.hold.event(now, kind, txn, number, token, span) || !k.ready(now) {
		return
	}
	b, at := k.open(kind, int64(now))
	b = putUint(b, tagTxn, uint64(txn))
	b = putUint(b, tagNumber, uint64(number))
	b = putUint(b, tagToken, token)
	k.close(putSpan(b, tagSpan, span), at, int64(now))
}

// Submit records a submission.
func (k *Recorder) Submit(now logic.Nanos, t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	if k.hold != nil {
		k.hold.submit(now, t, w, timeout)
		return
	}
	if k.begun.open && !k.begun.sent && t == k.begun.txn.ID && timeout == 0 && int64(now) == k.rec.At && k.cur != nil {
		k.begun.sent = true
		n := k.workers[w]
		if n == nil || n.block != k.number {
			k.begun.open = false // naming writes a record, and must not write this one
			k.worker(now, w)
			k.begun.open = true
			n = k.workers[w]
		}
		k.begun.worker = n.number
		return
	}
	k.at(now, tracepb.Kind_SUBMIT, t, w, timeout)
}

// Worker records an action on a worker alone.
func (k *Recorder) Worker(now logic.Nanos, kind Kind, w logic.WorkerID) { k.at(now, kind, 0, w, 0) }

func (k *Recorder) at(now logic.Nanos, kind Kind, t logic.TxnID, w logic.WorkerID, span logic.Nanos) {
	if k.ready(now) {
		n := k.worker(now, w)
		k.rec = Record{Kind: kind, At: int64(now), Txn: uint64(t), Worker: n, Span: uint64(span)}
		k.put()
	}
}

// Done tells that nothing more comes of a txn. Where txns are sampled it is decided now whether it is kept.
func (k *Recorder) Done(now logic.Nanos, t logic.TxnID) {
	if k.hold != nil {
		k.hold.done(k, now, t)
	}
}

// Log records a line of the module's log.
func (k *Recorder) Log(now logic.Nanos, text string) {
	if k.ready(now) {
		k.rec = Record{Kind: tracepb.Kind_LOG, At: int64(now), Text: text}
		k.put()
	}
}
