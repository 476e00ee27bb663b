// Package wire implements the line-based JSON protocol of the bench and hosts the sentries behind it. It converts names and
// units, and makes no decisions.
package wire

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"strconv"

	"dunegrade/logic"
)

// nanosPerMicrosecond converts times: the wire has microseconds, the module nanoseconds.
const nanosPerMicrosecond = 1000

// Bits of the marks in a message that hands over a txn.
const (
	markHasEffort = 1
	markRepeat    = 2
)

// instance is a hosted sentry with its own tables of names.
type instance struct {
	sentry *logic.Sentry
	number int
	out    *bytes.Buffer
	failed bool // the module has panicked
	*InitSettings
}

// host is the state of one connection with the bench.
type host struct {
	now       logic.Nanos
	out       bytes.Buffer // actions of the current batch
	errOut    io.Writer
	pages     map[int][]json.RawMessage // entries of worker lists, by page number
	workerIDs map[string]logic.WorkerID
	instances map[int]*instance // by number of the sentry
}

// Serve reads batches of messages from in and writes the actions for each batch to out, until in ends. Messages that cannot
// be decoded are reported on errs.
func Serve(in io.Reader, out, errs io.Writer) error {
	h := &host{errOut: errs, pages: map[int][]json.RawMessage{}, workerIDs: map[string]logic.WorkerID{},
		instances: map[int]*instance{}}
	r := bufio.NewReaderSize(in, 1<<20)
	for {
		line, err := r.ReadBytes('\n')
		if line = bytes.TrimSpace(line); len(line) > 0 {
			if end, lineErr := h.handleLine(line); lineErr != nil {
				fmt.Fprintf(errs, "wirehost: %v in line %.200s\n", lineErr, line)
			} else if end {
				h.out.WriteString("[\"done\"]\n")
				if _, err := out.Write(h.out.Bytes()); err != nil {
					return err
				}
				h.out.Reset()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// message holds the values of a message. Its methods record the first error in err.
type message struct {
	values []json.RawMessage
	err    error
}

// get decodes value i into the variable that into points to. If required is set, a missing or null value is an error.
func (r *message) get(i int, field string, into any, required bool) {
	if r.err != nil {
		return
	}
	if i >= len(r.values) || string(r.values[i]) == "null" {
		if required {
			r.err = fmt.Errorf("%s is missing", field)
		}
		return
	}
	if err := json.Unmarshal(r.values[i], into); err != nil {
		r.err = fmt.Errorf("%s has a wrong value %.40s", field, r.values[i])
	}
}

// num decodes a required number.
func (r *message) num(i int, field string) (n int64) { r.get(i, field, &n, true); return n }

// optNum decodes an optional number, 0 if it is missing.
func (r *message) optNum(i int, field string) (n int64) { r.get(i, field, &n, false); return n }

// text decodes a required string.
func (r *message) text(i int, field string) (s string) {
	r.get(i, field, &s, true)
	return s
}

// optText decodes an optional string, "" if it is missing.
func (r *message) optText(i int, field string) (s string) { r.get(i, field, &s, false); return s }

// time decodes a required time.
func (r *message) time(i int, field string) logic.Nanos {
	return logic.Nanos(r.num(i, field) * nanosPerMicrosecond)
}

// txn decodes the id of a txn.
func (r *message) txn(i int) logic.TxnID {
	s := r.text(i, "opId")
	n, err := strconv.ParseUint(s, 16, 64)
	if r.err == nil && (err != nil || s != fmt.Sprintf("%016x", n)) {
		r.err = fmt.Errorf("opId %q is not 16 hex digits", s)
	}
	return logic.TxnID(n)
}

// ending decodes the code of an ending.
func (r *message) ending(i int) logic.Ending {
	n := int(r.num(i, "ending"))
	e, ok := endings[n]
	if r.err == nil && !ok {
		r.err = fmt.Errorf("ending %d is unknown", n)
	}
	return e
}

// lookup returns the entry of a table for a name, or records an error.
func lookup[V any](r *message, table map[string]V, name, field string) V {
	v, ok := table[name]
	if r.err == nil && !ok {
		r.err = fmt.Errorf("%s %q is unknown", field, name)
	}
	return v
}

// handleLine handles one message, and reports whether it ends a batch.
func (h *host) handleLine(line []byte) (end bool, err error) {
	r := message{}
	if err := json.Unmarshal(line, &r.values); err != nil {
		return false, fmt.Errorf("not a JSON array: %w", err)
	}
	name := r.text(0, "message name")
	switch name {
	case "mark":
		if t := r.time(1, "clock"); r.err == nil {
			h.now = t
		}
		return false, r.err
	case "eofBatch":
		return true, nil
	case "census":
		page := int(r.num(1, "page"))
		var hosts []json.RawMessage
		r.get(2, "hosts", &hosts, true)
		if r.err == nil {
			h.pages[page] = hosts
		}
		return false, r.err
	}
	number := int(r.num(1, "sentry"))
	if r.err != nil {
		return false, r.err
	}
	if name == "init" {
		return false, h.startInstance(&r, number)
	}
	in := h.instances[number]
	if in == nil {
		return false, fmt.Errorf("%s for unknown sentry %d", name, number)
	}
	if name == "teardown" {
		delete(h.instances, number)
		return false, nil
	}
	if in.failed {
		return false, nil
	}
	call, err := h.decodeCall(in, name, &r)
	if err != nil {
		return false, err
	}
	in.guard(call)
	return false, nil
}

// guard runs a call into the decision module. It reports a panic with the die action, after which the instance ignores all
// messages but teardown.
func (in *instance) guard(call func()) {
	defer func() {
		if p := recover(); p != nil {
			in.failed = true
			in.writeAction("die", jsonText(fmt.Sprint(p)))
		}
	}()
	call()
}

// startInstance creates an instance from an init message.
func (h *host) startInstance(r *message, number int) error {
	seed := r.num(2, "initSeed")
	var params map[string]any
	r.get(3, "params", &params, true)
	if r.err != nil {
		return r.err
	}
	settings := DecodeInit(params)
	in := &instance{number: number, out: &h.out, InitSettings: settings}
	h.instances[number] = in
	in.guard(func() { in.sentry = logic.New(h.now, seed, settings.Values, in) })
	return nil
}

// decodeCall returns the call into the decision module that a message stands for.
func (h *host) decodeCall(in *instance, name string, r *message) (func(), error) {
	now, s := h.now, in.sentry
	var call func()
	switch name {
	case "peersKnown":
		mode := lookup(r, modes, r.text(3, "mode"), "mode")
		var list []logic.Worker
		if r.err == nil && mode != logic.ListUnavailable {
			page, ok := h.pages[int(r.num(2, "page"))]
			if !ok {
				return nil, fmt.Errorf("page %s was never sent", r.values[2])
			}
			for _, e := range page {
				list = append(list, h.decodeWorker(in, r, e))
			}
		}
		call = func() { s.UpdateWorkers(now, mode, list) }
	case "knock":
		t := logic.Txn{ID: r.txn(2)}
		var org any
		r.get(3, "org", &org, false)
		if o, ok := org.(string); ok && r.err == nil {
			t.Customer = logic.CustomerID(lookup(r, in.Customers, o, "org"))
		}
		t.Product = logic.ProductID(lookup(r, in.Products, r.text(4, "class"), "class"))
		marks := r.optNum(5, "marks")
		if key := r.optText(6, "resource"); key != "" {
			f := fnv.New64a()
			io.WriteString(f, key)
			t.Key = logic.KeyID(f.Sum64() | 1)
		}
		if marks&markHasEffort != 0 {
			t.Cost = logic.Nanos(r.optNum(7, "effort") * nanosPerMicrosecond)
		}
		t.Repeat = marks&markRepeat != 0
		t.Expiry = r.time(8, "expires")
		call = func() { s.Take(now, t) }
	case "completed":
		o := logic.Outcome{Txn: r.txn(2), Number: int(r.num(3, "copy")), Ending: r.ending(5), Elapsed: r.time(6, "costTime")}
		r.get(7, "ended", &o.Final, false)
		o.Load = in.decodeLoad(r, 8)
		call = func() { s.Outcome(now, o) }
	case "flowing":
		t, n := r.txn(2), int(r.num(3, "copy"))
		call = func() { s.StreamStarted(now, t, n) }
	case "dropped":
		t := r.txn(2)
		call = func() { s.ClientLeft(now, t) }
	case "timer":
		token := uint64(r.num(2, "keyBack"))
		call = func() { s.TimerFired(now, token) }
	case "echo":
		r.text(2, "worker")
		r.ending(3)
		r.time(4, "costTime")
		in.decodeLoad(r, 5)
		call = func() {} // the module sends no probes, so their outcomes are ignored
	case "whisper":
		from := int(r.num(2, "originPeer"))
		data, err := base64.StdEncoding.DecodeString(r.optText(3, "data"))
		if r.err == nil && err != nil {
			r.err = fmt.Errorf("data is not base64: %w", err)
		}
		call = func() { s.PeerMessage(now, from, data) }
	case "trialNews":
		n := logic.ReleaseUpdate{Ending: r.ending(8)}
		n.Stage, n.VoteReply = int(r.optNum(2, "stage")), r.optNum(3, "mark") == 1
		n.Rel = logic.RelID(r.optNum(4, "edition"))
		r.get(5, "cap", &n.Cap, false)
		n.Phase = logic.Phase(r.optNum(6, "phase"))
		n.Age = logic.Nanos(r.optNum(7, "old") * nanosPerMicrosecond)
		call = func() { s.ReleaseUpdate(now, n) }
	case "countsByBuild":
		t := logic.Tally{Rel: logic.RelID(r.num(2, "edition")), Many: int(r.num(3, "many")), Bad: int(r.num(4, "bad"))}
		t.Product = logic.ProductID(lookup(r, in.Products, r.text(6, "class"), "class"))
		t.Mean = logic.Nanos(r.optNum(7, "costTime") * nanosPerMicrosecond)
		call = func() { s.Tally(now, t) }
	case "contested":
		p := logic.ProductID(lookup(r, in.Products, r.text(2, "class"), "class"))
		w := h.workerID(r.text(3, "worker"))
		age := r.time(4, "old")
		call = func() { s.Contested(now, p, w, age) }
	default:
		return nil, fmt.Errorf("message %q is unknown", name)
	}
	return call, r.err
}

// workerID returns the worker id for a string; equal ids share one copy.
func (h *host) workerID(s string) logic.WorkerID {
	id, ok := h.workerIDs[s]
	if !ok {
		id = logic.WorkerID(s)
		h.workerIDs[s] = id
	}
	return id
}

// decodeWorker decodes an entry of the decodeWorker list.
func (h *host) decodeWorker(in *instance, r *message, entry json.RawMessage) logic.Worker {
	e := message{}
	if err := json.Unmarshal(entry, &e.values); err != nil {
		e.err = fmt.Errorf("a census entry is not an array: %w", err)
	}
	w := logic.Worker{ID: h.workerID(e.text(0, "worker")), Weight: 1}
	w.Zone = logic.ZoneID(lookup(&e, in.Zones, e.text(1, "hall"), "hall"))
	w.Kind = logic.KindID(in.Kinds[e.optText(2, "machine")])
	w.Cell = int(e.optNum(3, "block"))
	w.State = lookup(&e, states, e.text(4, "readiness"), "readiness")
	e.get(5, "rating", &w.Weight, false)
	var ver float64
	e.get(6, "ver", &ver, false)
	w.Rel = logic.RelID(ver)
	w.Start = logic.Nanos(e.optNum(7, "lastStart") * nanosPerMicrosecond)
	if r.err == nil {
		r.err = e.err
	}
	return w
}

// decodeLoad decodes the decodeLoad report at index i, or returns nil if there is none.
func (in *instance) decodeLoad(r *message, i int) *logic.Load {
	var values []float64
	r.get(i, "feedback", &values, false)
	if values == nil {
		return nil
	}
	l := &logic.Load{Util: -1, Queue: -1, Busy: -1}
	for n, field := range in.LoadFields {
		if n >= len(values) {
			break
		}
		SetLoad(l, field, values[n])
	}
	return l
}

// jsonText returns a string as JSON.
func jsonText(s string) string { b, _ := json.Marshal(s); return string(b) }

// writeAction writes the line of an action. The values are encoded as JSON already.
func (in *instance) writeAction(name string, values ...string) {
	fmt.Fprintf(in.out, "[%q,%d", name, in.number)
	for _, v := range values {
		in.out.WriteByte(',')
		in.out.WriteString(v)
	}
	in.out.WriteString("]\n")
}

// JSON values of an action.

func txnText(t logic.TxnID) string   { return fmt.Sprintf("\"%016x\"", uint64(t)) }
func timeText(n logic.Nanos) string  { return strconv.FormatInt(int64(n/nanosPerMicrosecond), 10) }
func numText[T ~int](n T) string     { return strconv.Itoa(int(n)) }
func idText(w logic.WorkerID) string { return jsonText(string(w)) }

// Submit and the methods below implement logic.Sink.
func (in *instance) Submit(t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	in.writeAction("issue", txnText(t), timeText(timeout), idText(w))
}
func (in *instance) Cancel(t logic.TxnID, number int) {
	in.writeAction("abortAttempt", txnText(t), numText(number))
}
func (in *instance) Decline(t logic.TxnID, retryAfter logic.Nanos) {
	in.writeAction("refuse", txnText(t), timeText(retryAfter))
}
func (in *instance) Void(t logic.TxnID) { in.writeAction("reportFailure", txnText(t)) }
func (in *instance) SetTimer(after logic.Nanos, token uint64) {
	in.writeAction("remind", timeText(after), strconv.FormatUint(token, 10))
}
func (in *instance) Vote(v logic.Verdict, rel logic.RelID, stage int) {
	in.writeAction("vote", numText(v), numText(rel), numText(stage))
}
func (in *instance) WatchWorkers() { in.writeAction("watch", "true") }
func (in *instance) SendToPeer(to int, data []byte) {
	in.writeAction("broadcastTo", numText(to), jsonText(base64.StdEncoding.EncodeToString(data)))
}
func (in *instance) Log(text string) { in.writeAction("trace", jsonText(text)) }
