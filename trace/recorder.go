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
	blockBytes         = 128 << 10 // records of a block, before they are packed
	bufferCount        = 16        // of a sentry: what is written may lag by so many blocks
	reservedBuffers    = 4         // of them are for what has begun: new txns are not recorded when no more are free
	flushAgeNanos      = int64(time.Second)
	writeRetryInterval = time.Second
)

// Recorder records one sentry. Its methods but Close are for the sentry's event loop, and never wait for a disk: what
// the writer has not taken yet lies in a bounded number of buffers, and when these run out, whole txns are left out and
// counted.
type Recorder struct {
	cur         *block // nil: no room
	lastAt      int64
	lastSerial  uint64 // of the TAKE before in this block
	workers     map[logic.WorkerID]*workerRef
	blockID     uint32 // of the block
	rec         Record
	pending     pendingTake
	lastRelease []byte    // as last told
	sampler     *sampler  // nil where all is written at once
	spare       []*block  // the loop's own; the last one used is still in the cache
	tail        *tailFile // nil: none
	blockCount  uint64    // begun so far
	returned    chan *block
	queue       chan *block
	done        chan struct{}
	log         *zap.Logger
	segments    *segmentWriter

	skippedTxns    uint64 // txns not recorded since the last gap was noted
	skippedRecords uint32 // other records that found no room
	skippedSince   int64
	TotalSkipped   atomic.Uint64 // in all; any goroutine
	lostTxns       atomic.Uint64 // txns taken in blocks that could not be written
	lostSince      atomic.Int64
}

type workerRef struct {
	number, blockID uint32
	build           uint64
}

// pendingTake is a TAKE that is not written yet: what the module nearly always does at once goes into the same record.
type pendingTake struct {
	open, submitted bool
	txn             logic.Txn
	serial          uint64
	traceID         [2]uint64
	worker          uint32
}

// block is a buffer of records with what is known of them.
type block struct {
	slot      []byte // of the tail; nil: none
	records   []byte
	keys      []uint64
	info      tracepb.Block
	lostTxns  uint64 // txns that are missing if it is lost: taken in it, or told missing in it
	lostSince int64  // from when on they are
}

// NewRecorder starts a recorder with its writer, one goroutine, ended by Close. settings are what the module is given;
// the header's Wall and Start are the present moment by the wall clock and the sentry's.
func NewRecorder(folder Directory, keep Keep, header *tracepb.Header, settings map[string]any, log *zap.Logger) (*Recorder, error) {
	return NewTailed(folder, "", keep, header, settings, log)
}

// NewTailed does the same with a tail in the folder tails, which should be of a file system in memory; "" for none. What
// dead processes left there of traces in the same folder is put into segments first.
func NewTailed(folder Directory, tails string, keep Keep, header *tracepb.Header, settings map[string]any, log *zap.Logger) (*Recorder, error) {
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
	k := &Recorder{workers: map[logic.WorkerID]*workerRef{}, returned: make(chan *block, bufferCount), queue: make(chan *block, bufferCount),
		done: make(chan struct{}), log: log, segments: &segmentWriter{dir: folder, retention: keep, header: h, enc: enc}, blockID: 1}
	if h.Level != LevelWhole {
		k.sampler = newSampler(h.Level, h.OneIn)
	}
	if tails != "" {
		x := proto.Clone(h).(*tracepb.Header)
		if dir, ok := folder.(Disk); ok {
			if x.Folder, err = filepath.Abs(string(dir)); err != nil {
				return nil, err
			}
		}
		if k.tail, err = createTail(tails, x); err != nil {
			log.Warn("no tail for traces: a kill loses up to a second of them", zap.Error(err))
		}
	}
	for i := 0; i < bufferCount; i++ {
		b := &block{keys: make([]uint64, 0, 4096)}
		if k.tail != nil {
			b.slot = k.tail.slot(i)
		} else {
			b.records = make([]byte, 0, blockBytes+blockBytes/4)
		}
		k.spare = append(k.spare, b)
	}
	go k.runWriter(tails)
	return k, nil
}

// runWriter packs blocks and writes them. When that fails it says so once, drops what comes, and tries again each
// second with a new segment, which begins by telling what is missing.
func (k *Recorder) runWriter(tails string) {
	defer close(k.done)
	if tails != "" {
		if err := recoverTails(k.segments.dir, tails, k.segments.header); err != nil {
			k.log.Warn("traces of a process that died stay in its tail", zap.Error(err))
		}
	}
	failing := false
	var next time.Time
	for s := range k.queue {
		now := time.Now()
		if failing && now.Before(next) {
			k.dropBlock(s)
			continue
		}
		err := k.segments.appendBlock(now, s)
		if err != nil {
			k.dropBlock(s)
			next = now.Add(writeRetryInterval)
			if !failing {
				k.log.Warn("traces cannot be written, txns go on without", zap.Error(err))
			}
			failing = true
			continue
		}
		if failing {
			k.log.Info("traces are written again", zap.Uint64("txns-not-recorded", k.lostTxns.Load()))
			failing = false
		}
		s.freeSlot()
		k.returned <- s
	}
	if k.tail != nil {
		defer k.tail.close()
	}
	if err := k.segments.close(); err != nil && !failing {
		k.log.Warn("the last trace segment has no index", zap.Error(err))
	}
}

func (k *Recorder) dropBlock(s *block) {
	k.segments.abandon()
	k.lostSince.CompareAndSwap(0, s.lostSince)
	k.lostTxns.Add(s.lostTxns)
	s.freeSlot()
	k.returned <- s
}

// Close ends the recording: call it from the loop, or when the loop has ended. It waits for the writer.
func (k *Recorder) Close(now logic.Nanos) {
	if k.sampler != nil {
		k.sampler.flush(k, now)
	}
	if !k.prepare(now) {
		close(k.queue)
		<-k.done
		return
	}
	k.rec = Record{Kind: tracepb.Kind_END, At: int64(now)}
	k.putRecord()
	k.enqueueBlock()
	close(k.queue)
	<-k.done
}

// freeBuffers gives how many buffers are free.
func (k *Recorder) freeBuffers() int { return len(k.spare) + len(k.returned) }

// prepare makes room for a record and tells whether there is any. What was left out before is told first.
func (k *Recorder) prepare(now logic.Nanos) bool {
	if k.pending.open {
		k.writePending()
	}
	if k.cur != nil && len(k.cur.records) >= blockBytes {
		k.enqueueBlock()
	}
	if k.cur == nil && !k.nextBlock(now) {
		return false
	}
	if k.skippedTxns > 0 || k.skippedRecords > 0 || k.lostTxns.Load() > 0 {
		k.putGap(now)
	}
	return true
}

// nextBlock takes a buffer for the nextBlock block, the one that was used last.
func (k *Recorder) nextBlock(now logic.Nanos) bool {
	for more := true; more; {
		select {
		case b := <-k.returned:
			k.spare = append(k.spare, b)
		default:
			more = false
		}
	}
	if len(k.spare) == 0 {
		if k.skippedSince == 0 {
			k.skippedSince = int64(now)
		}
		k.skippedRecords++
		return false
	}
	b := k.spare[len(k.spare)-1]
	k.spare = k.spare[:len(k.spare)-1]
	k.cur, k.lastAt, k.lastSerial = b, int64(now), 0
	k.blockID++
	b.records, b.keys, b.lostTxns, b.lostSince = b.records[:0], b.keys[:0], 0, int64(now)
	names, builds := b.info.Names[:0], b.info.Builds[:0]
	b.info.Reset()
	b.info.Names, b.info.Builds = names, builds
	k.blockCount++
	b.info.First, b.info.Number = int64(now), k.blockCount
	b.beginSlot(k.blockCount)
	if k.lastRelease != nil {
		k.rec = Record{Kind: tracepb.Kind_STANDING, At: int64(now), Body: k.lastRelease}
		k.putRecord()
	}
	return true
}

// putGap tells what is missing, once there is room for txns again.
func (k *Recorder) putGap(now logic.Nanos) {
	lost := k.lostTxns.Swap(0)
	if lost > 0 || (k.skippedTxns > 0 || k.skippedRecords > 0) && k.freeBuffers() >= reservedBuffers {
		since := k.skippedSince
		if at := k.lostSince.Swap(0); at != 0 && (since == 0 || at < since) {
			since = at
		}
		k.rec = Record{Kind: tracepb.Kind_GAP, At: int64(now), Number: k.skippedRecords, Token: lost + k.skippedTxns, Span: uint64(max(0, int64(now)-since))}
		k.putRecord()
		// Danger: this block can be lost as well, and what it tells with it.
		k.cur.lostTxns += lost + k.skippedTxns
		if since != 0 {
			k.cur.lostSince = min(k.cur.lostSince, since)
		}
		k.skippedTxns, k.skippedRecords, k.skippedSince = 0, 0, 0
	}
}

func (k *Recorder) putRecord() {
	if k.cur == nil {
		return
	}
	k.cur.records = k.rec.Append(k.cur.records, k.lastAt)
	k.cur.updateSlot()
	k.cur.info.Records++
	k.cur.info.Kinds |= kindBit(k.rec.Kind)
	k.lastAt = k.rec.At
}

// beginRecord begins a record of a frequent kind at the buffer's end, and close ends it.
func (k *Recorder) beginRecord(kind Kind, now int64) (b []byte, at int) {
	at = len(k.cur.records)
	b = append(k.cur.records, 0, 0, byte(tagKind), byte(kind))
	return putDuration(b, tagAfter, uint64(now-k.lastAt)), at
}

func kindBit(k Kind) uint64 { return 1 << (uint64(k) & 63) * (1 - uint64(k)>>6) }

func (k *Recorder) endRecord(b []byte, at int, now int64) {
	k.cur.records = putLength(b, at)
	k.cur.updateSlot()
	k.cur.info.Records++
	k.cur.info.Kinds |= kindBit(Kind(k.cur.records[at+3]))
	k.lastAt = now
}

// enqueueBlock hands the present block to the writer. There is room: there are no more buffers than that.
func (k *Recorder) enqueueBlock() {
	if k.pending.open {
		k.writePending()
	}
	if k.cur == nil || len(k.cur.records) == 0 {
		return
	}
	k.cur.info.Last, k.cur.info.Size = k.lastAt, uint32(len(k.cur.records))
	k.queue <- k.cur
	k.cur = nil
}

// Flush ships a block that has waited for a second, so that a crash costs no more, or, where a tail keeps it over a
// crash, for ten: larger blocks pack better. Call it on each beat.
func (k *Recorder) Flush(now logic.Nanos) {
	if k.sampler != nil {
		k.sampler.putOmitted(k, now)
	}
	age := flushAgeNanos
	if k.tail != nil {
		age *= 10
	}
	if k.cur != nil && len(k.cur.records) > 0 && int64(now)-k.cur.info.First > age {
		k.enqueueBlock()
	}
}

// workerNumber gives a workerNumber's number in this block, naming it where it is new to it. ready was asked before.
func (k *Recorder) workerNumber(now logic.Nanos, id logic.WorkerID) uint32 {
	n := k.workers[id]
	if n == nil {
		n = &workerRef{}
		k.workers[id] = n
	}
	if n.blockID != k.blockID {
		k.cur.info.Workers++
		n.number, n.blockID = k.cur.info.Workers, k.blockID
		k.cur.addWorker(string(id), int64(n.build))
		k.rec = Record{Kind: tracepb.Kind_WORKER, At: int64(now), Worker: n.number, Text: string(id), Token: n.build}
		k.putRecord()
	}
	return n.number
}

// Start records that the module begins.
func (k *Recorder) Start(now logic.Nanos, seed int64) {
	if k.prepare(now) {
		k.rec = Record{Kind: tracepb.Kind_START, At: int64(now), Token: uint64(seed)}
		k.putRecord()
	}
}

// List records a list event.
func (k *Recorder) List(now logic.Nanos, mode logic.ListMode, list []logic.Worker) {
	l := &tracepb.List{}
	for _, w := range list {
		n := k.workers[w.ID]
		if n == nil {
			n = &workerRef{}
			k.workers[w.ID] = n
		}
		if n.build != uint64(w.Rel) {
			n.build, n.blockID = uint64(w.Rel), 0 // it is named anew
		}
		l.Workers = append(l.Workers, &tracepb.List_Worker{Id: string(w.ID), Zone: int64(w.Zone), Kind: int64(w.Kind), Cell: int64(w.Cell),
			State: int64(w.State), Weight: w.Weight, Build: int64(w.Rel), Start: int64(w.Start)})
	}
	k.putMessage(now, Record{Kind: tracepb.Kind_LIST, Number: uint32(mode)}, l)
}

// News records news of the newest build.
func (k *Recorder) News(now logic.Nanos, n logic.ReleaseUpdate) {
	m := &tracepb.News{Stage: int64(n.Stage), Answer: n.VoteReply, Build: int64(n.Rel), Cap: n.Cap, Phase: int64(n.Phase), Age: int64(n.Age),
		Ending: int64(n.Ending)}
	k.putMessage(now, Record{Kind: tracepb.Kind_NEWS}, m)
	if n.Ending == logic.OK {
		if data, err := proto.Marshal(m); err == nil {
			k.lastRelease = data
		}
	}
}

// Tally records the platform's count.
func (k *Recorder) Tally(now logic.Nanos, t logic.Tally) {
	k.putMessage(now, Record{Kind: tracepb.Kind_TALLY}, &tracepb.Tally{Build: int64(t.Rel), Product: int64(t.Product), Many: int64(t.Many),
		Bad: int64(t.Bad), Mean: int64(t.Mean)})
}

func (k *Recorder) putMessage(now logic.Nanos, r Record, m proto.Message) {
	body, err := proto.Marshal(m)
	if err != nil || !k.prepare(now) {
		return
	}
	r.At, r.Body = int64(now), body
	k.rec = r
	k.putRecord()
}

// Contested records that an answer was found wrong.
func (k *Recorder) Contested(now logic.Nanos, p logic.ProductID, id logic.WorkerID, age logic.Nanos) {
	if k.prepare(now) {
		n := k.workerNumber(now, id)
		k.rec = Record{Kind: tracepb.Kind_CONTESTED, At: int64(now), Product: uint32(p), Worker: n, Span: uint64(age)}
		k.putRecord()
	}
}

// Told records a message of another sentry, Tell one to it.
func (k *Recorder) Told(now logic.Nanos, from int, data []byte) {
	k.putBytes(now, tracepb.Kind_TOLD, from, data)
}
func (k *Recorder) Tell(now logic.Nanos, to int, data []byte) {
	k.putBytes(now, tracepb.Kind_TELL, to, data)
}

func (k *Recorder) putBytes(now logic.Nanos, kind Kind, number int, data []byte) {
	if k.prepare(now) {
		k.rec = Record{Kind: kind, At: int64(now), Number: uint32(number), Body: data}
		k.putRecord()
	}
}

// Take records a txn by its serial, and tells whether it did: the records that follow of one that was left out must be
// left out too. high and low are the trace id that the client sent; zeros where it sent none.
func (k *Recorder) Take(now logic.Nanos, t *logic.Txn, serial, high, low uint64) bool {
	if len(k.spare) < reservedBuffers && k.freeBuffers() < reservedBuffers || !k.prepare(now) {
		if k.skippedTxns == 0 && k.skippedSince == 0 {
			k.skippedSince = int64(now)
		}
		k.skippedTxns++
		k.TotalSkipped.Add(1)
		return false
	}
	if k.sampler != nil {
		k.sampler.take(now, t, serial, high, low)
		return true
	}
	k.pending = pendingTake{open: true, txn: *t, serial: serial, traceID: [2]uint64{high, low}}
	k.pending.txn.Expiry -= now
	k.rec.At = int64(now)
	return true
}

// Settle writes what waits to be put into one record with what may follow. Call it when the module has nothing more to
// do, so that a kill finds all of it written.
func (k *Recorder) Settle() {
	if k.pending.open {
		k.writePending()
	}
}

// writePending writes the TAKE that was begun.
func (k *Recorder) writePending() { k.writeTake(0, 0) }

// writeTake writes the TAKE that was begun, with the REMIND that came of it, if any.
func (k *Recorder) writeTake(token, span uint64) {
	t := &k.pending
	t.open = false
	now := k.rec.At
	b, at := k.beginRecord(tracepb.Kind_TAKE, now)
	b = putUint(b, tagTxn, uint64(t.txn.ID))
	b = putUint(b, tagWorker, uint64(t.worker))
	b = putUint(b, tagProduct, uint64(t.txn.Product))
	b = putUint(b, tagCustomer, uint64(t.txn.Customer))
	b = putFixed64(b, 8, uint64(t.txn.Key))
	b = putDuration(b, tagCost, uint64(t.txn.Cost))
	b = putUint(b, tagRepeat, boolToUint64(t.txn.Repeat))
	b = putDuration(b, tagPatience, uint64(t.txn.Expiry))
	b = putUint(b, tagToken, token)
	b = putDuration(b, tagSpan, span)
	if t.serial != k.lastSerial+1 || k.lastSerial == 0 {
		b = putUint(b, tagSerial, t.serial)
	}
	if t.traceID != [2]uint64{} {
		b = putFixed64(b, 24, t.traceID[0])
		b = putFixed64(b, 25, t.traceID[1])
	}
	k.endRecord(b, at, now)
	k.lastSerial = t.serial
	k.cur.addTake(t.serial, uint64(t.txn.Key), t.traceID, uint64(t.txn.Product))
}

// addTake adds a txn to what the block is known to hold.
func (b *block) addTake(serial, key uint64, id [2]uint64, product uint64) {
	b.lostTxns++
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

// maxBlockNames is how many workers' names a block's description holds; where there are more, none: it would outgrow the
// block.
const maxBlockNames = 64

// addWorker adds a worker and its build.
func (b *block) addWorker(id string, build int64) {
	if b.info.Workers <= maxBlockNames {
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
	if k.sampler != nil {
		k.sampler.outcome(now, o, status)
		return
	}
	if !k.prepare(now) {
		return
	}
	b, at := k.beginRecord(tracepb.Kind_OUTCOME, int64(now))
	b = putUint(b, tagTxn, uint64(o.Txn))
	b = putUint(b, tagNumber, uint64(o.Number))
	b = putUint(b, tagEnding, uint64(o.Ending))
	b = putDuration(b, tagElapsed, uint64(o.Elapsed))
	if o.Final {
		b = append(b, byte(tagOver), 1)
	}
	if o.Load != nil {
		b = putLoads(b, o.Load.Util, o.Load.Queue, o.Load.Busy)
	}
	k.endRecord(putUint(b, tagToken, uint64(status)), at, int64(now))
}

// Event records one of the kinds that are no more than numbers.
func (k *Recorder) Event(now logic.Nanos, kind Kind, txn logic.TxnID, number int, token, span uint64) {
	if k.pending.open && kind == tracepb.Kind_REMIND && token != 0 && k.pending.submitted && int64(now) == k.rec.At {
		k.pending.submitted = false
		k.writeTake(token, span)
		return
	}
	if k.sampler != nil && !k.sampler.event(now, kind, txn, number, token, span) || !k.prepare(now) {
		return
	}
	b, at := k.beginRecord(kind, int64(now))
	b = putUint(b, tagTxn, uint64(txn))
	b = putUint(b, tagNumber, uint64(number))
	b = putUint(b, tagToken, token)
	k.endRecord(putDuration(b, tagSpan, span), at, int64(now))
}

// Submit records a submission.
func (k *Recorder) Submit(now logic.Nanos, t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	if k.sampler != nil {
		k.sampler.submit(now, t, w, timeout)
		return
	}
	if k.pending.open && !k.pending.submitted && t == k.pending.txn.ID && timeout == 0 && int64(now) == k.rec.At && k.cur != nil {
		k.pending.submitted = true
		n := k.workers[w]
		if n == nil || n.blockID != k.blockID {
			k.pending.open = false // naming writes a record, and must not write this one
			k.workerNumber(now, w)
			k.pending.open = true
			n = k.workers[w]
		}
		k.pending.worker = n.number
		return
	}
	k.putWorkerAction(now, tracepb.Kind_SUBMIT, t, w, timeout)
}

// Worker records an action on a worker alone.
func (k *Recorder) Worker(now logic.Nanos, kind Kind, w logic.WorkerID) {
	k.putWorkerAction(now, kind, 0, w, 0)
}

func (k *Recorder) putWorkerAction(now logic.Nanos, kind Kind, t logic.TxnID, w logic.WorkerID, span logic.Nanos) {
	if k.prepare(now) {
		n := k.workerNumber(now, w)
		k.rec = Record{Kind: kind, At: int64(now), Txn: uint64(t), Worker: n, Span: uint64(span)}
		k.putRecord()
	}
}

// Done tells that nothing more comes of a txn. Where txns are sampled it is decided now whether it is kept.
func (k *Recorder) Done(now logic.Nanos, t logic.TxnID) {
	if k.sampler != nil {
		k.sampler.done(k, now, t)
	}
}

// Log records a line of the module's log.
func (k *Recorder) Log(now logic.Nanos, text string) {
	if k.prepare(now) {
		k.rec = Record{Kind: tracepb.Kind_LOG, At: int64(now), Text: text}
		k.putRecord()
	}
}
