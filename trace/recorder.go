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

	// reservedBuffers is the number of buffers kept for further records of txns whose TAKE is recorded: new txns are not
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

// Recorder records one sentry. Its methods, except Close, are called from the sentry's event loop and never block on the
// disk: a fixed number of buffers holds the blocks until the writer goroutine has written them. While too few buffers are
// free, whole txns are skipped and counted.
type Recorder struct {
	cur         *block // current block; nil: none begun, or no buffer is free
	lastAt      int64  // time of the last record in cur
	lastSerial  uint64 // serial of the last TAKE in cur, 0 if there is none
	workers     map[logic.WorkerID]*workerRef
	generation  uint32 // of cur; a worker's number is valid only in the generation that assigned it
	rec         Record // scratch space for the record being written
	pending     pendingTake
	lastRelease []byte        // last release update with ending OK, as an encoded tracepb.News
	sampler     *sampler      // nil: every record is written at once
	spare       []*block      // free buffers; the last one was used last and may still be in the CPU cache
	tail        *tailFile     // nil: none
	blockCount  uint64        // blocks begun so far
	freed       chan *block   // buffers that the writer has finished with
	queue       chan *block   // blocks to be written
	done        chan struct{} // closed when the writer has ended
	log         *zap.Logger
	segments    *segmentWriter

	skippedTxns    uint64        // txns not recorded since the last GAP record
	skippedRecords uint32        // other records not recorded since then
	skippedSince   int64         // sentry clock at the first of them, 0 if there is none
	TotalSkipped   atomic.Uint64 // txns skipped since the recorder's start; any goroutine can read it
	lostTxns       atomic.Uint64 // txns in blocks that could not be written, since the last GAP record
	lostSince      atomic.Int64  // sentry clock at the first of them, 0 if there is none
}

// workerRef holds a worker's number in the block of a generation, and the worker's build.
type workerRef struct {
	number, generation uint32
	build              uint64
}

// pendingTake is a TAKE that is not written yet. The SUBMIT and REMIND that nearly always follow at once are put into the
// same record.
type pendingTake struct {
	active    bool      // a TAKE is pending
	submitted bool      // it includes a SUBMIT, but no REMIND yet
	txn       logic.Txn // its Expiry is relative to the time of the TAKE
	serial    uint64
	traceID   [2]uint64
	worker    uint32 // number of the SUBMIT's worker in the current block; 0: no SUBMIT
}

// block is a buffer of encoded records and their description.
type block struct {
	slot      []byte // memory in the tail file; nil: none
	records   []byte
	keys      []uint64 // keys and trace ids, for the filter
	info      tracepb.Block
	lostTxns  uint64 // txns missing from the trace if this block is lost: taken in it or counted in its GAP records
	lostSince int64  // sentry clock at the first of them
}

// NewRecorder starts a recorder and its writer goroutine; Close ends both. settings are the decision module's settings.
// The header's Wall and Start must hold the current time of the wall clock and of the sentry's clock.
func NewRecorder(dir Directory, retention Retention, header *tracepb.Header, settings map[string]any, logger *zap.Logger) (*Recorder, error) {
	return NewRecorderWithTail(dir, "", retention, header, settings, logger)
}

// NewRecorderWithTail is like NewRecorder, but keeps a tail file in tailDir, which should be on a file system in memory;
// "" disables the tail file. The writer first recovers the blocks that terminated processes recording to the same
// directory left in their tail files, and writes them to segments.
func NewRecorderWithTail(dir Directory, tailDir string, retention Retention, header *tracepb.Header, settings map[string]any, logger *zap.Logger) (*Recorder, error) {
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
	r := &Recorder{workers: map[logic.WorkerID]*workerRef{}, freed: make(chan *block, bufferCount), queue: make(chan *block, bufferCount),
		done: make(chan struct{}), log: logger, segments: &segmentWriter{dir: dir, retention: retention, header: h, enc: enc}, generation: 1}
	if h.Level != LevelWhole {
		r.sampler = newSampler(h.Level, h.OneIn)
	}
	if tailDir != "" {
		tailHeader := proto.Clone(h).(*tracepb.Header)
		if disk, ok := dir.(OSDirectory); ok {
			if tailHeader.Folder, err = filepath.Abs(string(disk)); err != nil {
				return nil, err
			}
		}
		if r.tail, err = createTail(tailDir, tailHeader); err != nil {
			logger.Warn("no tail for traces: a kill loses up to a second of them", zap.Error(err))
		}
	}
	for i := 0; i < bufferCount; i++ {
		b := &block{keys: make([]uint64, 0, initialKeys)}
		if r.tail != nil {
			b.slot = r.tail.slot(i)
		} else {
			b.records = make([]byte, 0, blockBytes+blockBytes/4)
		}
		r.spare = append(r.spare, b)
	}
	go r.runWriter(tailDir)
	return r, nil
}

// runWriter recovers tail files, then compresses blocks and writes them to segments. When a write fails, it logs that
// once, drops the following blocks, and retries with a new segment every writeRetryInterval. The event loop records the
// number of missing txns in a GAP record.
func (r *Recorder) runWriter(tailDir string) {
	defer close(r.done)
	if tailDir != "" {
		if err := recoverTails(r.segments.dir, tailDir, r.segments.header); err != nil {
			r.log.Warn("traces of a process that died stay in its tail", zap.Error(err))
		}
	}
	failing := false
	var retryAt time.Time
	for b := range r.queue {
		now := time.Now()
		if failing && now.Before(retryAt) {
			r.dropBlock(b)
			continue
		}
		err := r.segments.appendBlock(now, b)
		if err != nil {
			r.dropBlock(b)
			retryAt = now.Add(writeRetryInterval)
			if !failing {
				r.log.Warn("traces cannot be written, txns go on without", zap.Error(err))
			}
			failing = true
			continue
		}
		if failing {
			r.log.Info("traces are written again", zap.Uint64("txns-not-recorded", r.lostTxns.Load()))
			failing = false
		}
		b.freeSlot()
		r.freed <- b
	}
	if r.tail != nil {
		defer r.tail.close()
	}
	if err := r.segments.close(); err != nil && !failing {
		r.log.Warn("cannot write the index of the last trace segment", zap.Error(err))
	}
}

// dropBlock counts the txns of a block that cannot be written as lost and frees its buffer.
func (r *Recorder) dropBlock(b *block) {
	r.segments.abandon()
	r.lostSince.CompareAndSwap(0, b.lostSince)
	r.lostTxns.Add(b.lostTxns)
	b.freeSlot()
	r.freed <- b
}

// Close ends the recording and waits for the writer. It is called from the event loop, or after the loop has ended.
func (r *Recorder) Close(now logic.Nanos) {
	if r.sampler != nil {
		r.sampler.flush(r, now)
	}
	if !r.prepare(now) {
		close(r.queue)
		<-r.done
		return
	}
	r.rec = Record{Kind: tracepb.Kind_END, At: int64(now)}
	r.putRecord()
	r.enqueueBlock()
	close(r.queue)
	<-r.done
}

// freeBuffers returns the number of free buffers.
func (r *Recorder) freeBuffers() int { return len(r.spare) + len(r.freed) }

// prepare makes room for a record and reports whether there is any. It writes the pending TAKE, and a GAP record for
// skipped or lost txns, first.
func (r *Recorder) prepare(now logic.Nanos) bool {
	if r.pending.active {
		r.writePending()
	}
	if r.cur != nil && len(r.cur.records) >= blockBytes {
		r.enqueueBlock()
	}
	if r.cur == nil && !r.nextBlock(now) {
		return false
	}
	if r.skippedTxns > 0 || r.skippedRecords > 0 || r.lostTxns.Load() > 0 {
		r.putGap(now)
	}
	return true
}

// nextBlock begins a block in the free buffer that was used last, and reports whether a buffer was free.
func (r *Recorder) nextBlock(now logic.Nanos) bool {
	for more := true; more; {
		select {
		case b := <-r.freed:
			r.spare = append(r.spare, b)
		default:
			more = false
		}
	}
	if len(r.spare) == 0 {
		if r.skippedSince == 0 {
			r.skippedSince = int64(now)
		}
		r.skippedRecords++
		return false
	}
	b := r.spare[len(r.spare)-1]
	r.spare = r.spare[:len(r.spare)-1]
	r.cur, r.lastAt, r.lastSerial = b, int64(now), 0
	r.generation++
	b.records, b.keys, b.lostTxns, b.lostSince = b.records[:0], b.keys[:0], 0, int64(now)
	names, builds := b.info.Names[:0], b.info.Builds[:0]
	b.info.Reset()
	b.info.Names, b.info.Builds = names, builds
	r.blockCount++
	b.info.First, b.info.Number = int64(now), r.blockCount
	b.beginSlot(r.blockCount)
	if r.lastRelease != nil {
		r.rec = Record{Kind: tracepb.Kind_STANDING, At: int64(now), Body: r.lastRelease}
		r.putRecord()
	}
	return true
}

// putGap writes a GAP record with the number of missing txns, once there is room for new txns again.
func (r *Recorder) putGap(now logic.Nanos) {
	lost := r.lostTxns.Swap(0)
	if lost > 0 || (r.skippedTxns > 0 || r.skippedRecords > 0) && r.freeBuffers() >= reservedBuffers {
		since := r.skippedSince
		if lostSince := r.lostSince.Swap(0); lostSince != 0 && (since == 0 || lostSince < since) {
			since = lostSince
		}
		r.rec = Record{Kind: tracepb.Kind_GAP, At: int64(now), Number: r.skippedRecords, Token: lost + r.skippedTxns, Span: uint64(max(0, int64(now)-since))}
		r.putRecord()
		// If this block is lost too, so is its GAP record, and the txns that it counted must be counted as lost again.
		r.cur.lostTxns += lost + r.skippedTxns
		if since != 0 {
			r.cur.lostSince = min(r.cur.lostSince, since)
		}
		r.skippedTxns, r.skippedRecords, r.skippedSince = 0, 0, 0
	}
}

// putRecord appends r.rec to the current block.
func (r *Recorder) putRecord() {
	if r.cur == nil {
		return
	}
	r.cur.records = r.rec.Append(r.cur.records, r.lastAt)
	r.cur.updateSlot()
	r.cur.info.Records++
	r.cur.info.Kinds |= kindBit(r.rec.Kind)
	r.lastAt = r.rec.At
}

// beginRecord begins a record of a frequent kind at the end of the current block, without going through a Record, and
// returns the buffer and the record's offset. endRecord completes it.
func (r *Recorder) beginRecord(kind Kind, now int64) (b []byte, start int) {
	start = len(r.cur.records)
	b = append(r.cur.records, 0, 0, byte(tagKind), byte(kind))
	return putDuration(b, tagAfter, uint64(now-r.lastAt)), start
}

// kindBit returns the bit of a kind in a block's set of kinds, 0 for kinds above 63.
func kindBit(k Kind) uint64 { return 1 << (uint64(k) & 63) * (1 - uint64(k)>>6) }

// endRecord completes the record that beginRecord began at offset start.
func (r *Recorder) endRecord(b []byte, start int, now int64) {
	r.cur.records = putLength(b, start)
	r.cur.updateSlot()
	r.cur.info.Records++
	r.cur.info.Kinds |= kindBit(Kind(r.cur.records[start+3]))
	r.lastAt = now
}

// enqueueBlock hands the current block to the writer. It never blocks: the queue has room for all buffers.
func (r *Recorder) enqueueBlock() {
	if r.pending.active {
		r.writePending()
	}
	if r.cur == nil || len(r.cur.records) == 0 {
		return
	}
	r.cur.info.Last, r.cur.info.Size = r.lastAt, uint32(len(r.cur.records))
	r.queue <- r.cur
	r.cur = nil
}

// FlushStale hands the current block to the writer once it is older than flushAgeNanos, so that a crash loses no more
// than that. With a tail file, which preserves the block in a crash, the age is tailFlushFactor times as long, because
// larger blocks compress better. It is called on each tick of the housekeeping timer.
func (r *Recorder) FlushStale(now logic.Nanos) {
	if r.sampler != nil {
		r.sampler.putOmitted(r, now)
	}
	age := flushAgeNanos
	if r.tail != nil {
		age *= tailFlushFactor
	}
	if r.cur != nil && len(r.cur.records) > 0 && int64(now)-r.cur.info.First > age {
		r.enqueueBlock()
	}
}

// workerNumber returns the number of a worker in the current block, after writing a WORKER record if the block has none
// for the worker yet. prepare must have succeeded before.
func (r *Recorder) workerNumber(now logic.Nanos, id logic.WorkerID) uint32 {
	ref := r.workers[id]
	if ref == nil {
		ref = &workerRef{}
		r.workers[id] = ref
	}
	if ref.generation != r.generation {
		r.cur.info.Workers++
		ref.number, ref.generation = r.cur.info.Workers, r.generation
		r.cur.addWorker(string(id), int64(ref.build))
		r.rec = Record{Kind: tracepb.Kind_WORKER, At: int64(now), Worker: ref.number, Text: string(id), Token: ref.build}
		r.putRecord()
	}
	return ref.number
}

// Start records the start of the decision module.
func (r *Recorder) Start(now logic.Nanos, seed int64) {
	if r.prepare(now) {
		r.rec = Record{Kind: tracepb.Kind_START, At: int64(now), Token: uint64(seed)}
		r.putRecord()
	}
}

// UpdateWorkers records an update of the worker list.
func (r *Recorder) UpdateWorkers(now logic.Nanos, mode logic.ListMode, list []logic.Worker) {
	msg := &tracepb.List{}
	for _, w := range list {
		ref := r.workers[w.ID]
		if ref == nil {
			ref = &workerRef{}
			r.workers[w.ID] = ref
		}
		if ref.build != uint64(w.Rel) {
			ref.build, ref.generation = uint64(w.Rel), 0 // forces a new WORKER record with this build
		}
		msg.Workers = append(msg.Workers, &tracepb.List_Worker{Id: string(w.ID), Zone: int64(w.Zone), Kind: int64(w.Kind), Cell: int64(w.Cell),
			State: int64(w.State), Weight: w.Weight, Build: int64(w.Rel), Start: int64(w.Start)})
	}
	r.putMessage(now, Record{Kind: tracepb.Kind_LIST, Number: uint32(mode)}, msg)
}

// ReleaseUpdate records an update of the state of the newest release.
func (r *Recorder) ReleaseUpdate(now logic.Nanos, u logic.ReleaseUpdate) {
	msg := &tracepb.News{Stage: int64(u.Stage), Answer: u.VoteReply, Build: int64(u.Rel), Cap: u.Cap, Phase: int64(u.Phase), Age: int64(u.Age),
		Ending: int64(u.Ending)}
	r.putMessage(now, Record{Kind: tracepb.Kind_NEWS}, msg)
	if u.Ending == logic.OK {
		if data, err := proto.Marshal(msg); err == nil {
			r.lastRelease = data
		}
	}
}

// Tally records the platform's count of txns of a build.
func (r *Recorder) Tally(now logic.Nanos, t logic.Tally) {
	r.putMessage(now, Record{Kind: tracepb.Kind_TALLY}, &tracepb.Tally{Build: int64(t.Rel), Product: int64(t.Product), Many: int64(t.Many),
		Bad: int64(t.Bad), Mean: int64(t.Mean)})
}

// putMessage writes a record whose body is an encoded message.
func (r *Recorder) putMessage(now logic.Nanos, record Record, m proto.Message) {
	body, err := proto.Marshal(m)
	if err != nil || !r.prepare(now) {
		return
	}
	record.At, record.Body = int64(now), body
	r.rec = record
	r.putRecord()
}

// Contested records a report that an answer of a worker was wrong. age is the time since the answer.
func (r *Recorder) Contested(now logic.Nanos, p logic.ProductID, id logic.WorkerID, age logic.Nanos) {
	if r.prepare(now) {
		n := r.workerNumber(now, id)
		r.rec = Record{Kind: tracepb.Kind_CONTESTED, At: int64(now), Product: uint32(p), Worker: n, Span: uint64(age)}
		r.putRecord()
	}
}

// PeerMessage records a message from another sentry.
func (r *Recorder) PeerMessage(now logic.Nanos, from int, data []byte) {
	r.putBytes(now, tracepb.Kind_TOLD, from, data)
}

// SendToPeer records a message to another sentry.
func (r *Recorder) SendToPeer(now logic.Nanos, to int, data []byte) {
	r.putBytes(now, tracepb.Kind_TELL, to, data)
}

// putBytes writes a record of a message from or to another sentry.
func (r *Recorder) putBytes(now logic.Nanos, kind Kind, number int, data []byte) {
	if r.prepare(now) {
		r.rec = Record{Kind: kind, At: int64(now), Number: uint32(number), Body: data}
		r.putRecord()
	}
}

// Take records the arrival of a txn and reports whether there was room for it. If not, the caller must not record
// anything else about that txn. high and low are the halves of the trace id that the client sent, zeros if it sent none.
func (r *Recorder) Take(now logic.Nanos, t *logic.Txn, serial, high, low uint64) bool {
	if len(r.spare) < reservedBuffers && r.freeBuffers() < reservedBuffers || !r.prepare(now) {
		if r.skippedTxns == 0 && r.skippedSince == 0 {
			r.skippedSince = int64(now)
		}
		r.skippedTxns++
		r.TotalSkipped.Add(1)
		return false
	}
	if r.sampler != nil {
		r.sampler.take(now, t, serial, high, low)
		return true
	}
	r.pending = pendingTake{active: true, txn: *t, serial: serial, traceID: [2]uint64{high, low}}
	r.pending.txn.Expiry -= now
	r.rec.At = int64(now)
	return true
}

// WritePending writes the pending TAKE record, if any. It is called when the decision module has handled its events, so
// that a tail file holds all of their records if the process crashes afterwards.
func (r *Recorder) WritePending() {
	if r.pending.active {
		r.writePending()
	}
}

// writePending writes the pending TAKE without a REMIND.
func (r *Recorder) writePending() { r.writeTake(0, 0) }

// writeTake writes the pending TAKE together with the REMIND that followed it, if token is not 0.
func (r *Recorder) writeTake(token, span uint64) {
	t := &r.pending
	t.active = false
	now := r.rec.At
	b, start := r.beginRecord(tracepb.Kind_TAKE, now)
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
	if t.serial != r.lastSerial+1 || r.lastSerial == 0 {
		b = putUint(b, tagSerial, t.serial)
	}
	if t.traceID != [2]uint64{} {
		b = putFixed64(b, fieldTraceHigh, t.traceID[0])
		b = putFixed64(b, fieldTraceLow, t.traceID[1])
	}
	r.endRecord(b, start, now)
	r.lastSerial = t.serial
	r.cur.addTake(t.serial, uint64(t.txn.Key), t.traceID, uint64(t.txn.Product))
}

// addTake adds a txn to the block's description and its filter keys.
func (b *block) addTake(serial, key uint64, id [2]uint64, product uint64) {
	b.lostTxns++
	b.info.Products |= 1 << min(product, lastProductBit)
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

// maxBlockNames is the largest number of worker names in a block's description. The description of a block with more
// workers has no names, because it could become larger than the block.
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
func (r *Recorder) Outcome(now logic.Nanos, o *logic.Outcome, status int) {
	if r.sampler != nil {
		r.sampler.outcome(now, o, status)
		return
	}
	if !r.prepare(now) {
		return
	}
	b, start := r.beginRecord(tracepb.Kind_OUTCOME, int64(now))
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
	r.endRecord(putUint(b, tagToken, uint64(status)), start, int64(now))
}

// Event records an event or action that has no fields but numbers.
func (r *Recorder) Event(now logic.Nanos, kind Kind, txn logic.TxnID, number int, token, span uint64) {
	if r.pending.active && kind == tracepb.Kind_REMIND && token != 0 && r.pending.submitted && int64(now) == r.rec.At {
		r.pending.submitted = false
		r.writeTake(token, span)
		return
	}
	if r.sampler != nil && !r.sampler.event(now, kind, txn, number, token, span) || !r.prepare(now) {
		return
	}
	b, start := r.beginRecord(kind, int64(now))
	b = putUint(b, tagTxn, uint64(txn))
	b = putUint(b, tagNumber, uint64(number))
	b = putUint(b, tagToken, token)
	r.endRecord(putDuration(b, tagSpan, span), start, int64(now))
}

// Submit records a submission to a worker.
func (r *Recorder) Submit(now logic.Nanos, t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	if r.sampler != nil {
		r.sampler.submit(now, t, w, timeout)
		return
	}
	if r.pending.active && !r.pending.submitted && t == r.pending.txn.ID && timeout == 0 && int64(now) == r.rec.At && r.cur != nil {
		r.pending.submitted = true
		ref := r.workers[w]
		if ref == nil || ref.generation != r.generation {
			r.pending.active = false // the WORKER record must precede the TAKE, so it must not write the pending TAKE first
			r.workerNumber(now, w)
			r.pending.active = true
			ref = r.workers[w]
		}
		r.pending.worker = ref.number
		return
	}
	r.putWorkerAction(now, tracepb.Kind_SUBMIT, t, w, timeout)
}

// WorkerAction records an action on a worker that concerns no txn.
func (r *Recorder) WorkerAction(now logic.Nanos, kind Kind, w logic.WorkerID) {
	r.putWorkerAction(now, kind, 0, w, 0)
}

// putWorkerAction writes a record that names a worker.
func (r *Recorder) putWorkerAction(now logic.Nanos, kind Kind, t logic.TxnID, w logic.WorkerID, span logic.Nanos) {
	if r.prepare(now) {
		n := r.workerNumber(now, w)
		r.rec = Record{Kind: kind, At: int64(now), Txn: uint64(t), Worker: n, Span: uint64(span)}
		r.putRecord()
	}
}

// TxnDone marks the end of a txn's records. A recorder that samples txns now writes the records or leaves them out.
func (r *Recorder) TxnDone(now logic.Nanos, t logic.TxnID) {
	if r.sampler != nil {
		r.sampler.finish(r, now, t)
	}
}

// Log records a line that the decision module logged.
func (r *Recorder) Log(now logic.Nanos, text string) {
	if r.prepare(now) {
		r.rec = Record{Kind: tracepb.Kind_LOG, At: int64(now), Text: text}
		r.putRecord()
	}
}
