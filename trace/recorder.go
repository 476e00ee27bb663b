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
	// blockBytes is the size of the encoded records, before compression, at which a block is handed to the writer.
	blockBytes = 128 << 10

	// bufferCount is the number of block buffers of a recorder, and so the number of blocks by which the writer may lag.
	bufferCount = 16

	// reservedBuffers is the number of buffers kept for the records of txns that were taken already: new txns are not
	// recorded while fewer are free.
	reservedBuffers = 4

	// flushAgeNanos is the age at which an incomplete block is handed to the writer, and the least interval between two
	// LEFT_OUT records.
	flushAgeNanos = int64(time.Second)

	// tailFlushFactor multiplies flushAgeNanos where a tail file preserves the block in case of a crash.
	tailFlushFactor = 10

	// writeRetryInterval is the time between two attempts to write while the disk fails.
	writeRetryInterval = time.Second

	// initialKeys is the initial capacity of a block's list of keys and trace ids.
	initialKeys = 4096
)

// Recorder records one sentry. Its methods, except Close, are called from the sentry's event loop and never wait for a
// disk: blocks that the writer has not written yet wait in a fixed number of buffers. When these run out, whole txns are
// skipped and counted.
type Recorder struct {
	cur         *block // nil: none begun, or no buffer is free
	lastAt      int64  // time of the last record in cur
	lastSerial  uint64 // of the last TAKE in cur, 0 if there is none
	workers     map[logic.WorkerID]*workerRef
	generation  uint32 // of cur: worker numbers are valid within one block
	rec         Record
	pending     pendingTake
	lastRelease []byte    // last release update that ended well, as an encoded tracepb.News
	sampler     *sampler  // nil: every record is written at once
	spare       []*block  // free buffers of the event loop; the one used last, still in the CPU cache, is at the end
	tail        *tailFile // nil: none
	blockCount  uint64    // blocks begun so far
	returned    chan *block
	queue       chan *block
	done        chan struct{}
	log         *zap.Logger
	segments    *segmentWriter

	skippedTxns    uint64        // txns not recorded since the last GAP record
	skippedRecords uint32        // other records not recorded since then
	skippedSince   int64         // sentry clock at the first of them, 0 if there is none
	TotalSkipped   atomic.Uint64 // txns not recorded in all; any goroutine may read it
	lostTxns       atomic.Uint64 // txns in blocks that could not be written, since the last GAP record
	lostSince      atomic.Int64  // sentry clock at the first of them, 0 if there is none
}

// workerRef is the number of a worker in the block of the given generation, and the worker's build.
type workerRef struct {
	number, generation uint32
	build              uint64
}

// pendingTake is a TAKE that is not written yet. The SUBMIT and REMIND that nearly always follow at once are put into the
// same record.
type pendingTake struct {
	open, submitted bool
	txn             logic.Txn
	serial          uint64
	traceID         [2]uint64
	worker          uint32
}

// block is a buffer of encoded records and their description.
type block struct {
	slot      []byte // memory in the tail file; nil: none
	records   []byte
	keys      []uint64 // keys and trace ids, for the filter
	info      tracepb.Block
	lostTxns  uint64 // txns missing from the trace if this block is lost: taken in it or counted in its GAP records
	lostSince int64  // sentry clock since when they would be missing
}

// NewRecorder starts a recorder and its writer goroutine; Close ends both. settings are those that the decision module
// is given. The header's Wall and Start are the present moment by the wall clock and by the sentry's clock.
func NewRecorder(dir Directory, retention Keep, header *tracepb.Header, settings map[string]any, logger *zap.Logger) (*Recorder, error) {
	return NewTailed(dir, "", retention, header, settings, logger)
}

// NewTailed is like NewRecorder, with a tail file in the directory tails, which should be on a file system in memory;
// "" for none. Blocks that terminated processes recording to the same directory left in their tail files are written to
// segments first.
func NewTailed(dir Directory, tails string, retention Keep, header *tracepb.Header, settings map[string]any, logger *zap.Logger) (*Recorder, error) {
	h := proto.Clone(header).(*tracepb.Header)
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("trace: encoding the settings: %w", err)
	}
	sum := sha256.Sum256(data)
	h.Version, h.Settings, h.SettingsDigest, h.Module = Version, data, hex.EncodeToString(sum[:8]), logic.Version()
	enc, err := newEncoder()
	if err != nil {
		return nil, err
	}
	k := &Recorder{workers: map[logic.WorkerID]*workerRef{}, returned: make(chan *block, bufferCount), queue: make(chan *block, bufferCount),
		done: make(chan struct{}), log: logger, segments: &segmentWriter{dir: dir, retention: retention, header: h, enc: enc}, generation: 1}
	if h.Level != LevelWhole {
		k.sampler = newSampler(h.Level, h.OneIn)
	}
	if tails != "" {
		tailHeader := proto.Clone(h).(*tracepb.Header)
		if disk, ok := dir.(Disk); ok {
			if tailHeader.Folder, err = filepath.Abs(string(disk)); err != nil {
				return nil, err
			}
		}
		if k.tail, err = createTail(tails, tailHeader); err != nil {
			logger.Warn("no tail for traces: a kill loses up to a second of them", zap.Error(err))
		}
	}
	for i := 0; i < bufferCount; i++ {
		b := &block{keys: make([]uint64, 0, initialKeys)}
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

// runWriter compresses blocks and writes them to segments. When a write fails it logs that once, drops the blocks that
// follow, and tries again every writeRetryInterval with a new segment. The event loop then records the number of missing
// txns in a GAP record.
func (k *Recorder) runWriter(tails string) {
	defer close(k.done)
	if tails != "" {
		if err := recoverTails(k.segments.dir, tails, k.segments.header); err != nil {
			k.log.Warn("traces of a process that died stay in its tail", zap.Error(err))
		}
	}
	failing := false
	var retryAt time.Time
	for b := range k.queue {
		now := time.Now()
		if failing && now.Before(retryAt) {
			k.dropBlock(b)
			continue
		}
		err := k.segments.appendBlock(now, b)
		if err != nil {
			k.dropBlock(b)
			retryAt = now.Add(writeRetryInterval)
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
		b.freeSlot()
		k.returned <- b
	}
	if k.tail != nil {
		defer k.tail.close()
	}
	if err := k.segments.close(); err != nil && !failing {
		k.log.Warn("cannot write the index of the last trace segment", zap.Error(err))
	}
}

// dropBlock counts the txns of a block that cannot be written as lost and frees its buffer.
func (k *Recorder) dropBlock(b *block) {
	k.segments.abandon()
	k.lostSince.CompareAndSwap(0, b.lostSince)
	k.lostTxns.Add(b.lostTxns)
	b.freeSlot()
	k.returned <- b
}

// Close ends the recording and waits for the writer. It is called from the event loop, or after the loop has ended.
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

// freeBuffers returns the number of free buffers.
func (k *Recorder) freeBuffers() int { return len(k.spare) + len(k.returned) }

// prepare makes room for a record and reports whether there is any. A GAP record for skipped or lost txns is written
// first.
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

// nextBlock begins a block in the free buffer that was used last, and reports whether there was one.
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
	k.generation++
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

// putGap writes a GAP record with the number of missing txns, once there is room for new txns again.
func (k *Recorder) putGap(now logic.Nanos) {
	lost := k.lostTxns.Swap(0)
	if lost > 0 || (k.skippedTxns > 0 || k.skippedRecords > 0) && k.freeBuffers() >= reservedBuffers {
		since := k.skippedSince
		if at := k.lostSince.Swap(0); at != 0 && (since == 0 || at < since) {
			since = at
		}
		k.rec = Record{Kind: tracepb.Kind_GAP, At: int64(now), Number: k.skippedRecords, Token: lost + k.skippedTxns, Span: uint64(max(0, int64(now)-since))}
		k.putRecord()
		// If this block is lost too, its GAP record is lost with it, so the txns counted there count as lost again.
		k.cur.lostTxns += lost + k.skippedTxns
		if since != 0 {
			k.cur.lostSince = min(k.cur.lostSince, since)
		}
		k.skippedTxns, k.skippedRecords, k.skippedSince = 0, 0, 0
	}
}

// putRecord appends k.rec to the current block.
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

// beginRecord begins a record of a frequent kind at the end of the current block, without going through a Record, and
// returns the buffer and the record's offset. endRecord completes it.
func (k *Recorder) beginRecord(kind Kind, now int64) (b []byte, start int) {
	start = len(k.cur.records)
	b = append(k.cur.records, 0, 0, byte(tagKind), byte(kind))
	return putDuration(b, tagAfter, uint64(now-k.lastAt)), start
}

// kindBit returns the bit of a kind in a block's set of kinds, 0 for kinds above 63.
func kindBit(k Kind) uint64 { return 1 << (uint64(k) & 63) * (1 - uint64(k)>>6) }

// endRecord completes the record that beginRecord began at offset start.
func (k *Recorder) endRecord(b []byte, start int, now int64) {
	k.cur.records = putLength(b, start)
	k.cur.updateSlot()
	k.cur.info.Records++
	k.cur.info.Kinds |= kindBit(Kind(k.cur.records[start+3]))
	k.lastAt = now
}

// enqueueBlock hands the current block to the writer. It never blocks: the queue has room for all buffers.
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

// Flush hands the current block to the writer once it is flushAgeNanos old, so that a crash loses no more than that, or
// tailFlushFactor times as old where a tail file preserves it: larger blocks compress better. It is called on each tick
// of the housekeeping timer.
func (k *Recorder) Flush(now logic.Nanos) {
	if k.sampler != nil {
		k.sampler.putOmitted(k, now)
	}
	age := flushAgeNanos
	if k.tail != nil {
		age *= tailFlushFactor
	}
	if k.cur != nil && len(k.cur.records) > 0 && int64(now)-k.cur.info.First > age {
		k.enqueueBlock()
	}
}

// workerNumber returns the number of a worker in the current block, after writing a WORKER record if the block has none
// of it yet. prepare must have succeeded before.
func (k *Recorder) workerNumber(now logic.Nanos, id logic.WorkerID) uint32 {
	ref := k.workers[id]
	if ref == nil {
		ref = &workerRef{}
		k.workers[id] = ref
	}
	if ref.generation != k.generation {
		k.cur.info.Workers++
		ref.number, ref.generation = k.cur.info.Workers, k.generation
		k.cur.addWorker(string(id), int64(ref.build))
		k.rec = Record{Kind: tracepb.Kind_WORKER, At: int64(now), Worker: ref.number, Text: string(id), Token: ref.build}
		k.putRecord()
	}
	return ref.number
}

// Start records the start of the decision module.
func (k *Recorder) Start(now logic.Nanos, seed int64) {
	if k.prepare(now) {
		k.rec = Record{Kind: tracepb.Kind_START, At: int64(now), Token: uint64(seed)}
		k.putRecord()
	}
}

// List records an update of the worker list.
func (k *Recorder) List(now logic.Nanos, mode logic.ListMode, list []logic.Worker) {
	msg := &tracepb.List{}
	for _, w := range list {
		ref := k.workers[w.ID]
		if ref == nil {
			ref = &workerRef{}
			k.workers[w.ID] = ref
		}
		if ref.build != uint64(w.Rel) {
			ref.build, ref.generation = uint64(w.Rel), 0 // forces a new WORKER record with this build
		}
		msg.Workers = append(msg.Workers, &tracepb.List_Worker{Id: string(w.ID), Zone: int64(w.Zone), Kind: int64(w.Kind), Cell: int64(w.Cell),
			State: int64(w.State), Weight: w.Weight, Build: int64(w.Rel), Start: int64(w.Start)})
	}
	k.putMessage(now, Record{Kind: tracepb.Kind_LIST, Number: uint32(mode)}, msg)
}

// News records an update of the state of the newest release.
func (k *Recorder) News(now logic.Nanos, u logic.ReleaseUpdate) {
	msg := &tracepb.News{Stage: int64(u.Stage), Answer: u.VoteReply, Build: int64(u.Rel), Cap: u.Cap, Phase: int64(u.Phase), Age: int64(u.Age),
		Ending: int64(u.Ending)}
	k.putMessage(now, Record{Kind: tracepb.Kind_NEWS}, msg)
	if u.Ending == logic.OK {
		if data, err := proto.Marshal(msg); err == nil {
			k.lastRelease = data
		}
	}
}

// Tally records the platform's count of txns of a build.
func (k *Recorder) Tally(now logic.Nanos, t logic.Tally) {
	k.putMessage(now, Record{Kind: tracepb.Kind_TALLY}, &tracepb.Tally{Build: int64(t.Rel), Product: int64(t.Product), Many: int64(t.Many),
		Bad: int64(t.Bad), Mean: int64(t.Mean)})
}

// putMessage writes a record whose body is an encoded message.
func (k *Recorder) putMessage(now logic.Nanos, r Record, m proto.Message) {
	body, err := proto.Marshal(m)
	if err != nil || !k.prepare(now) {
		return
	}
	r.At, r.Body = int64(now), body
	k.rec = r
	k.putRecord()
}

// Contested records that an answer was reported as wrong.
func (k *Recorder) Contested(now logic.Nanos, p logic.ProductID, id logic.WorkerID, age logic.Nanos) {
	if k.prepare(now) {
		n := k.workerNumber(now, id)
		k.rec = Record{Kind: tracepb.Kind_CONTESTED, At: int64(now), Product: uint32(p), Worker: n, Span: uint64(age)}
		k.putRecord()
	}
}

// Told records a message from another sentry.
func (k *Recorder) Told(now logic.Nanos, from int, data []byte) {
	k.putBytes(now, tracepb.Kind_TOLD, from, data)
}

// Tell records a message to another sentry.
func (k *Recorder) Tell(now logic.Nanos, to int, data []byte) {
	k.putBytes(now, tracepb.Kind_TELL, to, data)
}

// putBytes writes a record of a message from or to another sentry.
func (k *Recorder) putBytes(now logic.Nanos, kind Kind, number int, data []byte) {
	if k.prepare(now) {
		k.rec = Record{Kind: kind, At: int64(now), Number: uint32(number), Body: data}
		k.putRecord()
	}
}

// Take records the arrival of a txn and reports whether it did. If it did not, the caller must not record anything else
// of that txn. high and low are the halves of the trace id that the client sent, zeros if it sent none.
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

// Settle writes the pending TAKE record. It is called when the module has handled its events, so that a tail file
// holds all of their records if the process crashes afterwards.
func (k *Recorder) Settle() {
	if k.pending.open {
		k.writePending()
	}
}

// writePending writes the pending TAKE without a REMIND.
func (k *Recorder) writePending() { k.writeTake(0, 0) }

// writeTake writes the pending TAKE together with the REMIND that followed it, if token is not 0.
func (k *Recorder) writeTake(token, span uint64) {
	t := &k.pending
	t.open = false
	now := k.rec.At
	b, start := k.beginRecord(tracepb.Kind_TAKE, now)
	b = putUint(b, tagTxn, uint64(t.txn.ID))
	b = putUint(b, tagWorker, uint64(t.worker))
	b = putUint(b, tagProduct, uint64(t.txn.Product))
	b = putUint(b, tagCustomer, uint64(t.txn.Customer))
	b = putFixed64(b, fieldKey, uint64(t.txn.Key))
	b = putDuration(b, tagCost, uint64(t.txn.Cost))
	b = putUint(b, tagRepeat, boolToUint64(t.txn.Repeat))
	b = putDuration(b, tagPatience, uint64(t.txn.Expiry))
	b = putUint(b, tagToken, token)
	b = putDuration(b, tagSpan, span)
	if t.serial != k.lastSerial+1 || k.lastSerial == 0 {
		b = putUint(b, tagSerial, t.serial)
	}
	if t.traceID != [2]uint64{} {
		b = putFixed64(b, fieldTraceHigh, t.traceID[0])
		b = putFixed64(b, fieldTraceLow, t.traceID[1])
	}
	k.endRecord(b, start, now)
	k.lastSerial = t.serial
	k.cur.addTake(t.serial, uint64(t.txn.Key), t.traceID, uint64(t.txn.Product))
}

// addTake adds a txn to the block's description.
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

// maxBlockNames is the largest number of worker names in a block's description. Blocks with more workers list none, as
// the description would outgrow the block.
const maxBlockNames = 64

// addWorker adds a worker and its build to the block's description.
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

// Outcome records the end of a submission. status is that of the answer sent to the client, 0 if the client was not
// answered by this submission.
func (k *Recorder) Outcome(now logic.Nanos, o *logic.Outcome, status int) {
	if k.sampler != nil {
		k.sampler.outcome(now, o, status)
		return
	}
	if !k.prepare(now) {
		return
	}
	b, start := k.beginRecord(tracepb.Kind_OUTCOME, int64(now))
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
	k.endRecord(putUint(b, tagToken, uint64(status)), start, int64(now))
}

// Event records an event or action that consists of numbers only.
func (k *Recorder) Event(now logic.Nanos, kind Kind, txn logic.TxnID, number int, token, span uint64) {
	if k.pending.open && kind == tracepb.Kind_REMIND && token != 0 && k.pending.submitted && int64(now) == k.rec.At {
		k.pending.submitted = false
		k.writeTake(token, span)
		return
	}
	if k.sampler != nil && !k.sampler.event(now, kind, txn, number, token, span) || !k.prepare(now) {
		return
	}
	b, start := k.beginRecord(kind, int64(now))
	b = putUint(b, tagTxn, uint64(txn))
	b = putUint(b, tagNumber, uint64(number))
	b = putUint(b, tagToken, token)
	k.endRecord(putDuration(b, tagSpan, span), start, int64(now))
}

// Submit records a submission to a worker.
func (k *Recorder) Submit(now logic.Nanos, t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	if k.sampler != nil {
		k.sampler.submit(now, t, w, timeout)
		return
	}
	if k.pending.open && !k.pending.submitted && t == k.pending.txn.ID && timeout == 0 && int64(now) == k.rec.At && k.cur != nil {
		k.pending.submitted = true
		ref := k.workers[w]
		if ref == nil || ref.generation != k.generation {
			k.pending.open = false // workerNumber writes a record, which must not write the pending TAKE
			k.workerNumber(now, w)
			k.pending.open = true
			ref = k.workers[w]
		}
		k.pending.worker = ref.number
		return
	}
	k.putWorkerAction(now, tracepb.Kind_SUBMIT, t, w, timeout)
}

// Worker records an action that concerns a worker but no txn.
func (k *Recorder) Worker(now logic.Nanos, kind Kind, w logic.WorkerID) {
	k.putWorkerAction(now, kind, 0, w, 0)
}

// putWorkerAction writes a record that names a worker.
func (k *Recorder) putWorkerAction(now logic.Nanos, kind Kind, t logic.TxnID, w logic.WorkerID, span logic.Nanos) {
	if k.prepare(now) {
		n := k.workerNumber(now, w)
		k.rec = Record{Kind: kind, At: int64(now), Txn: uint64(t), Worker: n, Span: uint64(span)}
		k.putRecord()
	}
}

// Done reports that a txn has no further records. Where txns are sampled, this decides whether its records are written.
func (k *Recorder) Done(now logic.Nanos, t logic.TxnID) {
	if k.sampler != nil {
		k.sampler.finish(k, now, t)
	}
}

// Log records a line that the module logged.
func (k *Recorder) Log(now logic.Nanos, text string) {
	if k.prepare(now) {
		k.rec = Record{Kind: tracepb.Kind_LOG, At: int64(now), Text: text}
		k.putRecord()
	}
}
