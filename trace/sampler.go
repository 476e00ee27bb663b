package trace

import (
	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// Levels of detail of a file. Only files with LevelWhole can be replayed.
const (
	LevelWhole     = 0 // every record
	LevelPart      = 1 // a selection of another file's txns, or several files merged
	LevelSampled   = 2 // all txns that failed or whose client left, and a fraction of the others, chosen by key
	LevelDecisions = 3 // all decisions, without outcomes
)

// InSample reports whether a sample of one in n keys includes a key. All sentries choose the same keys.
func InSample(key uint64, n uint32) bool {
	// The key, though a hash, is mixed once more because its lowest bit is always set.
	return n <= 1 || (key*serialMultiplier)>>32%uint64(n) == 0
}

// heldRecord is a record of a txn in progress in a compact form.
type heldRecord struct {
	at, span     int64 // nanoseconds; span holds Elapsed in the case of an outcome
	worker       logic.WorkerID
	load         logic.Load
	token        uint32
	kind         Kind
	number       uint16
	ending       uint8
	over, loaded bool
}

// heldTxn holds the records of a txn in progress.
type heldTxn struct {
	id       uint64 // 0: the slot is free
	serial   uint64
	txn      logic.Txn
	traceID  [2]uint64
	takenAt  int64        // sentry clock, nanoseconds
	records  []heldRecord // its memory is reused by the next txn of the slot
	failed   bool         // it was declined, voided, left by its client or answered with a status of 500 or above
	answered bool         // the client was answered with a status below 500, or an answer is being streamed
}

// sampler holds the records of each txn until its end, which decides whether they are written.
type sampler struct {
	level     uint32
	oneIn     uint32    // one in this number of keys is in the sample
	txns      []heldTxn // by slot, see slotMask
	omitted   uint64    // number of txns left out since the last LEFT_OUT record
	omittedAt int64     // sentry clock at that record, nanoseconds
}

// slotMask selects the lower 20 bits of a txn's id, which are its slot in the edge's table of txns in progress.
const slotMask = 1<<20 - 1

// heldRecordsCap is the initial capacity for the records of a txn.
const heldRecordsCap = 4

func newSampler(level, oneIn uint32) *sampler { return &sampler{level: level, oneIn: oneIn} }

// lookup returns the held txn with an id, or nil.
func (s *sampler) lookup(t logic.TxnID) *heldTxn {
	slot := int(t & slotMask)
	if slot >= len(s.txns) || s.txns[slot].id != uint64(t) {
		return nil
	}
	return &s.txns[slot]
}

// take begins to hold the records of a txn.
func (s *sampler) take(now logic.Nanos, t *logic.Txn, serial, high, low uint64) {
	slot := int(t.ID & slotMask)
	for slot >= len(s.txns) {
		s.txns = append(s.txns, heldTxn{records: make([]heldRecord, 0, heldRecordsCap)})
	}
	held := &s.txns[slot]
	*held = heldTxn{id: uint64(t.ID), serial: serial, txn: *t, traceID: [2]uint64{high, low}, takenAt: int64(now), records: held.records[:0]}
}

// submit holds the record of a submission.
func (s *sampler) submit(now logic.Nanos, t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	if held := s.lookup(t); held != nil {
		held.records = append(held.records, heldRecord{at: int64(now), kind: tracepb.Kind_SUBMIT, worker: w, span: int64(timeout)})
	}
}

// outcome holds the record of the end of a submission, unless only decisions are recorded.
func (s *sampler) outcome(now logic.Nanos, o *logic.Outcome, status int) {
	held := s.lookup(o.Txn)
	if held == nil {
		return
	}
	if o.Final && status > 0 {
		held.answered = status < 500
		held.failed = held.failed || status >= 500
	}
	if s.level == LevelDecisions {
		return
	}
	rec := heldRecord{at: int64(now), kind: tracepb.Kind_OUTCOME, number: uint16(o.Number), ending: uint8(o.Ending), over: o.Final, span: int64(o.Elapsed),
		token: uint32(status)}
	if o.Load != nil {
		rec.load, rec.loaded = *o.Load, true
	}
	held.records = append(held.records, rec)
}

// event holds the record of an event or action if it belongs to a txn. It reports whether the caller has to write the
// record at once instead.
func (s *sampler) event(now logic.Nanos, kind Kind, t logic.TxnID, number int, token, span uint64) bool {
	switch kind {
	case tracepb.Kind_TIMER, tracepb.Kind_REMIND:
		return false // only a replay needs these, and sampled traces cannot be replayed
	}
	if t == 0 {
		return true
	}
	held := s.lookup(t)
	if held == nil {
		return false
	}
	switch kind {
	case tracepb.Kind_DECLINE, tracepb.Kind_VOID, tracepb.Kind_LEFT:
		held.failed = true
	case tracepb.Kind_STREAMING:
		held.answered = true
	}
	held.records = append(held.records, heldRecord{at: int64(now), kind: kind, number: uint16(number), span: int64(span), token: uint32(token)})
	return false
}

// finish ends a txn. It writes the txn's records or leaves them out.
func (s *sampler) finish(r *Recorder, now logic.Nanos, t logic.TxnID) {
	held := s.lookup(t)
	if held == nil {
		return
	}
	held.id = 0
	key := uint64(held.txn.Key)
	if key == 0 {
		key = held.serial
	}
	if s.level == LevelSampled && !held.failed && held.answered && !InSample(key, s.oneIn) {
		s.omitted++
		return
	}
	s.writeTxn(r, now, held, uint64(t))
}

// writeTxn writes all records of a txn, after a BACK record if the txn was taken before the time of the last record.
func (s *sampler) writeTxn(r *Recorder, now logic.Nanos, held *heldTxn, id uint64) {
	if r.freeBuffers() < reservedBuffers || !r.prepare(now) {
		if r.skippedTxns == 0 && r.skippedSince == 0 {
			r.skippedSince = int64(now)
		}
		r.skippedTxns++
		r.TotalSkipped.Add(1)
		return
	}
	if back := r.lastAt - held.takenAt; back > 0 {
		r.rec = Record{Kind: tracepb.Kind_BACK, At: r.lastAt, Span: uint64(back)}
		r.putRecord()
		r.lastAt = held.takenAt
		if held.takenAt < r.cur.info.First && (r.cur.info.Earliest == 0 || held.takenAt < r.cur.info.Earliest) {
			r.cur.info.Earliest = held.takenAt
		}
	}
	r.rec = Record{Kind: tracepb.Kind_TAKE, At: held.takenAt, Txn: id, Serial: held.serial, Product: uint32(held.txn.Product),
		Customer: uint32(held.txn.Customer),
		Key:      uint64(held.txn.Key), Cost: uint64(held.txn.Cost), Repeat: held.txn.Repeat,
		Patience: uint64(int64(held.txn.Expiry) - held.takenAt), TraceID: held.traceID}
	r.putRecord()
	r.cur.addTake(held.serial, uint64(held.txn.Key), held.traceID, uint64(held.txn.Product))
	for i := range held.records {
		rec := &held.records[i]
		worker := uint32(0)
		if rec.worker != "" {
			worker = r.workerNumber(logic.Nanos(rec.at), rec.worker)
		}
		r.rec = Record{Kind: rec.kind, At: rec.at, Txn: id, Worker: worker, Number: uint32(rec.number), Ending: uint32(rec.ending), Over: rec.over,
			Token: uint64(rec.token)}
		if rec.kind == tracepb.Kind_OUTCOME {
			r.rec.Elapsed = uint64(rec.span)
		} else {
			r.rec.Span = uint64(rec.span)
		}
		if rec.loaded {
			r.rec.Loaded, r.rec.Util, r.rec.Queue, r.rec.Busy = true, rec.load.Util, rec.load.Queue, rec.load.Busy
		}
		r.putRecord()
	}
}

// putOmitted records the number of txns left out, at most once per flushAgeNanos, so that totals can be computed from the
// trace.
func (s *sampler) putOmitted(r *Recorder, now logic.Nanos) {
	if s.omitted == 0 || int64(now)-s.omittedAt < flushAgeNanos || !r.prepare(now) {
		return
	}
	s.omittedAt = int64(now)
	r.rec = Record{Kind: tracepb.Kind_LEFT_OUT, At: int64(now), Token: s.omitted}
	r.putRecord()
	s.omitted = 0
}

// flush writes the records of the txns that are still in progress when the recording ends.
func (s *sampler) flush(r *Recorder, now logic.Nanos) {
	for i := range s.txns {
		if held := &s.txns[i]; held.id != 0 {
			id := held.id
			held.id = 0
			s.writeTxn(r, now, held, id)
		}
	}
	s.omittedAt = 0
	s.putOmitted(r, now)
}
