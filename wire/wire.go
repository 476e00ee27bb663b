// Package wire speaks the line-based JSON protocol of the bench and hosts the sentries behind it. It converts names and
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

// instance is a hosted sentry with its own tables of names.
type instance struct {
	sentry *logic.Sentry
	number int
	out    *bytes.Buffer
	failed bool
	*InitSettings
}

// host is the state of one connection with the bench.
type host struct {
	now       logic.Nanos
	out       bytes.Buffer
	errOut    io.Writer
	pages     map[int][]json.RawMessage
	workerIDs map[string]logic.WorkerID
	instances map[int]*instance
}

// Serve reads batches of messages from in and writes the actions for each to out, until in ends. Messages that cannot be
// decoded are reported on errs.
func Serve(in io.Reader, out, errs io.Writer) error {
	h := &host{errOut: errs, pages: map[int][]json.RawMessage{}, workerIDs: map[string]logic.WorkerID{},
		instances: map[int]*instance{}}
	r := bufio.NewReaderSize(in, 1<<20)
	for {
		line, err := r.ReadBytes('\n')
		if line = bytes.TrimSpace(line); len(line) > 0 {
			if end, lineErr := h.line(line); lineErr != nil {
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

// message is the values of a message. Its methods record the first error in fault.
type message struct {
	values []json.RawMessage
	fault  error
}

// get decodes value i into a variable. A value that is missing or null is an error if it is required.
func (r *message) get(i int, field string, into any, required bool) {
	if r.fault != nil {
		return
	}
	if i >= len(r.values) || string(r.values[i]) == "null" {
		if required {
			r.fault = fmt.Errorf("%s is missing", field)
		}
		return
	}
	if err := json.Unmarshal(r.values[i], into); err != nil {
		r.fault = fmt.Errorf("%s has a wrong value %.40s", field, r.values[i])
	}
}

func (r *message) num(i int, field string) (n int64)    { r.get(i, field, &n, true); return n }
func (r *message) optNum(i int, field string) (n int64) { r.get(i, field, &n, false); return n }
func (r *message) text(i int, field string) (s string) {
	r.get(i, field, &s, true)
	return s
}
func (r *message) optText(i int, field string) (s string) { r.get(i, field, &s, false); return s }
func (r *message) time(i int, field string) logic.Nanos   { return logic.Nanos(r.num(i, field) * 1000) }

func (r *message) txn(i int) logic.TxnID {
	s := r.text(i, "opId")
	n, err := strconv.ParseUint(s, 16, 64)
	if r.fault == nil && (err != nil || s != fmt.Sprintf("%016x", n)) {
		r.fault = fmt.Errorf("opId %q is not 16 hex digits", s)
	}
	return logic.TxnID(n)
}

func (r *message) ending(i int) logic.Ending {
	n := int(r.num(i, "ending"))
	e, ok := endings[n]
	if r.fault == nil && !ok {
		r.fault = fmt.Errorf("ending %d is unknown", n)
	}
	return e
}

// lookup returns the entry of a table for a name, or records an error.
func lookup[V any](r *message, table map[string]V, name, field string) V {
	v, ok := table[name]
	if r.fault == nil && !ok {
		r.fault = fmt.Errorf("%s %q is unknown", field, name)
	}
	return v
}

// line handles one message, and reports whether it ends a batch.
func (h *host) line(line []byte) (end bool, err error) {
	r := message{}
	if err := json.Unmarshal(line, &r.values); err != nil {
		return false, fmt.Errorf("not a JSON array: %w", err)
	}
	name := r.text(0, "message name")
	switch name {
	case "mark":
		if t := r.time(1, "clock"); r.fault == nil {
			h.now = t
		}
		return false, r.fault
	case "eofBatch":
		return true, nil
	case "census":
		page := int(r.num(1, "page"))
		var hosts []json.RawMessage
		r.get(2, "hosts", &hosts, true)
		if r.fault == nil {
			h.pages[page] = hosts
		}
		return false, r.fault
	}
	number := int(r.num(1, "sentry"))
	if r.fault != nil {
		return false, r.fault
	}
	if name == "init" {
		return false, h.start(&r, number)
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
	call, err := h.decode(in, name, &r)
	if err != nil {
		return false, err
	}
	in.guard(call)
	return false, nil
}

// guard runs a call into the decision module, and reports a panic with the die action; the instance ignores messages from
// then on.
func (in *instance) guard(call func()) {
	defer func() {
		if p := recover(); p != nil {
			in.failed = true
			in.writeAction("die", jsonText(fmt.Sprint(p)))
		}
	}()
	call()
}

// start creates an instance from an init message.
func (h *host) start(r *message, number int) error {
	seed := r.num(2, "initSeed")
	var params map[string]any
	r.get(3, "params", &params, true)
	if r.fault != nil {
		return r.fault
	}
	settings := DecodeInit(params)
	in := &instance{number: number, out: &h.out, InitSettings: settings}
	h.instances[number] = in
	in.guard(func() { in.sentry = logic.New(h.now, seed, settings.Values, in) })
	return nil
}

// decode returns the call into the decision module that a message asks for.
func (h *host) decode(in *instance, name string, r *message) (func(), error) {
	now, s := h.now, in.sentry
	var call func()
	switch name {
	case "peersKnown":
		mode := lookup(r, modes, r.text(3, "mode"), "mode")
		var list []logic.Worker
		if r.fault == nil && mode != logic.ListUnavailable {
			page, ok := h.pages[int(r.num(2, "page"))]
			if !ok {
				return nil, fmt.Errorf("page %s was never sent", r.values[2])
			}
			for _, e := range page {
				list = append(list, h.worker(in, r, e))
			}
		}
		call = func() { s.UpdateWorkers(now, mode, list) }
	case "knock":
		t := logic.Txn{ID: r.txn(2)}
		var org any
		r.get(3, "org", &org, false)
		if o, ok := org.(string); ok && r.fault == nil {
			t.Customer = logic.CustomerID(lookup(r, in.Customers, o, "org"))
		}
		t.Product = logic.ProductID(lookup(r, in.Products, r.text(4, "class"), "class"))
		marks := r.optNum(5, "marks")
		if key := r.optText(6, "resource"); key != "" {
			f := fnv.New64a()
			io.WriteString(f, key)
			t.Key = logic.KeyID(f.Sum64() | 1)
		}
		if marks&1 != 0 {
			t.Cost = logic.Nanos(r.optNum(7, "effort") * 1000)
		}
		t.Repeat = marks&2 != 0
		t.Expiry = r.time(8, "expires")
		call = func() { s.Take(now, t) }
	case "completed":
		o := logic.Outcome{Txn: r.txn(2), Number: int(r.num(3, "copy")), Ending: r.ending(5), Elapsed: r.time(6, "costTime")}
		r.get(7, "ended", &o.Final, false)
		o.Load = in.load(r, 8)
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
		in.load(r, 5)
		call = func() {} // the module sends no probes, so their outcomes are ignored
	case "whisper":
		from := int(r.num(2, "originPeer"))
		data, err := base64.StdEncoding.DecodeString(r.optText(3, "data"))
		if r.fault == nil && err != nil {
			r.fault = fmt.Errorf("data is not base64: %w", err)
		}
		call = func() { s.PeerMessage(now, from, data) }
	case "trialNews":
		n := logic.ReleaseUpdate{Ending: r.ending(8)}
		n.Stage, n.VoteReply = int(r.optNum(2, "stage")), r.optNum(3, "mark") == 1
		n.Rel = logic.RelID(r.optNum(4, "edition"))
		r.get(5, "cap", &n.Cap, false)
		n.Phase = logic.Phase(r.optNum(6, "phase"))
		n.Age = logic.Nanos(r.optNum(7, "old") * 1000)
		call = func() { s.ReleaseUpdate(now, n) }
	case "countsByBuild":
		t := logic.Tally{Rel: logic.RelID(r.num(2, "edition")), Many: int(r.num(3, "many")), Bad: int(r.num(4, "bad"))}
		t.Product = logic.ProductID(lookup(r, in.Products, r.text(6, "class"), "class"))
		t.Mean = logic.Nanos(r.optNum(7, "costTime") * 1000)
		call = func() { s.Tally(now, t) }
	case "contested":
		p := logic.ProductID(lookup(r, in.Products, r.text(2, "class"), "class"))
		w := h.workerID(r.text(3, "worker"))
		age := r.time(4, "old")
		call = func() { s.Contested(now, p, w, age) }
	default:
		return nil, fmt.Errorf("message %q is unknown", name)
	}
	return call, r.fault
}

// workerID returns one shared copy of each worker id.
func (h *host) workerID(s string) logic.WorkerID {
	id, ok := h.workerIDs[s]
	if !ok {
		id = logic.WorkerID(s)
		h.workerIDs[s] = id
	}
	return id
}

// worker decodes an entry of the worker list.
func (h *host) worker(in *instance, r *message, entry json.RawMessage) logic.Worker {
	e := message{}
	if err := json.Unmarshal(entry, &e.values); err != nil {
		e.fault = fmt.Errorf("a census entry is not an array: %w", err)
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
	w.Start = logic.Nanos(e.optNum(7, "lastStart") * 1000)
	if r.fault == nil {
		r.fault = e.fault
	}
	return w
}

// load decodes the load report at index i, or returns nil if there is none.
func (in *instance) load(r *message, i int) *logic.Load {
	var v []float64
	r.get(i, "feedback", &v, false)
	if v == nil {
		return nil
	}
	l := &logic.Load{Util: -1, Queue: -1, Busy: -1}
	for k, f := range in.LoadFields {
		if k >= len(v) {
			break
		}
		SetLoad(l, f, v[k])
	}
	return l
}

func jsonText(s string) string { b, _ := json.Marshal(s); return string(b) }

// writeAction writes the line of an action. The values are JSON already.
func (in *instance) writeAction(name string, values ...string) {
	fmt.Fprintf(in.out, "[%q,%d", name, in.number)
	for _, v := range values {
		in.out.WriteByte(',')
		in.out.WriteString(v)
	}
	in.out.WriteString("]\n")
}

func txnText(t logic.TxnID) string   { return fmt.Sprintf("\"%016x\"", uint64(t)) }
func timeText(n logic.Nanos) string  { return strconv.FormatInt(int64(n/1000), 10) }
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
