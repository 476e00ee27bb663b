package trace

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"google.golang.org/protobuf/proto"

	"dunegrade/trace/tracepb"
)

// Secret keeps what is anonymised joinable: the same text under the same secret becomes the same name, and nobody
// without the secret can tell, or try, which.
type Secret []byte

// leastSecret is how many bytes a secret has at the least: fewer could be tried out.
const leastSecret = 16

// ReadSecret reads a secret from a file that nobody else may read.
func ReadSecret(path string) (Secret, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("secret: %w", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("secret: %s can be read by others (mode %v); make it 0600", path, info.Mode().Perm())
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("secret: %w", err)
	}
	if len(data) < leastSecret {
		return nil, fmt.Errorf("secret: %s holds %d bytes; %d at least are wanted", path, len(data), leastSecret)
	}
	return data, nil
}

// of gives the keyed hash of a text, for one use.
func (s Secret) of(use, text string) []byte {
	h := hmac.New(sha256.New, s)
	h.Write([]byte(use))
	h.Write([]byte{0})
	h.Write([]byte(text))
	return h.Sum(nil)
}

func (s Secret) name(use, text string) string {
	if text == "" {
		return ""
	}
	return use + "-" + hex.EncodeToString(s.of(use, text)[:6])
}

func (s Secret) number(use string, v uint64) uint64 {
	if v == 0 {
		return 0
	}
	return binary.LittleEndian.Uint64(s.of(use, string(uint64Bytes(v)))) | 1
}

// words are the texts that settings may keep: they are the program's own.
var words = map[string]bool{"inquiry-like": true, "referenced": true, "once-only": true, "all": true, "zone": true, "cell": true, "push": true,
	"ask": true, "single": true, "majority": true, "clocked": true, "in-place": true, "beside": true, "product": true}

// settings keeps numbers, flags and the program's own words; of names of settings only those that the program could
// have given: letters, digits, dots and dashes, and no run of digits longer than a place in a list.
func (s Secret) settings(data []byte) ([]byte, error) {
	var in map[string]any
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("%w: settings: %w", ErrDamaged, err)
	}
	out := map[string]any{}
	for k, v := range in {
		if !plainName(k) {
			continue
		}
		switch v := v.(type) {
		case bool, float64:
			out[k] = v
		case string:
			if words[v] {
				out[k] = v
			}
		}
	}
	return json.Marshal(out)
}

func plainName(s string) bool {
	digits := 0
	for _, c := range s {
		switch {
		case c >= '0' && c <= '9':
			if digits++; digits > 4 {
				return false
			}
		case c >= 'a' && c <= 'z' || c == '.' || c == '-':
			digits = 0
		default:
			return false
		}
	}
	return true
}

// Anonymise writes a life without anything that could name a person: texts are dropped or become names by keyed
// hashes, as do keys and the trace ids that clients sent. Times, figures and decisions stay. What it does not know, it
// leaves out.
func Anonymise(l *Life, s Secret, w io.Writer, hurt func(path string, d Damage)) error {
	in := l.Headers[0]
	if l.origin != 0 {
		return fmt.Errorf("trace: %s is a merged file; anonymise the files that it was made of, and merge what comes out", l.Paths[0])
	}
	set, err := s.settings(in.Settings)
	if err != nil {
		return err
	}
	digest := sha256.Sum256(set)
	h := &tracepb.Header{Version: Version, Edge: s.name("edge", in.Edge), Sentry: in.Sentry, Life: s.number("life", in.Life), Segment: 0, Wall: in.Wall,
		Start: in.Start, Module: in.Module, SettingsDigest: hex.EncodeToString(digest[:8]), Settings: set, Level: LevelPart, OneIn: in.OneIn}
	if len(in.Module) != 16 || strings.Trim(in.Module, "0123456789abcdef") != "" {
		h.Module = ""
	}
	for i := range in.Products {
		h.Products = append(h.Products, fmt.Sprintf("product-%d", i))
	}
	for i := range in.Customers {
		h.Customers = append(h.Customers, fmt.Sprintf("customer-%d", i+1))
	}
	p, err := newFileWriter(w, h)
	if err != nil {
		return err
	}
	var fault error
	err = l.Each(func(r *Record, names []string) bool {
		// Only fields that are named here pass: a field that is new tomorrow does not.
		out := Record{Kind: r.Kind, At: r.At, Txn: r.Txn, Serial: r.Serial, Number: r.Number, Product: r.Product, Customer: r.Customer, Ending: r.Ending,
			Key: s.number("key", r.Key), Cost: r.Cost, Patience: r.Patience, Elapsed: r.Elapsed, Token: r.Token, Span: r.Span, Util: r.Util,
			Queue: r.Queue, Busy: r.Busy, Repeat: r.Repeat, Over: r.Over, Loaded: r.Loaded}
		if r.TraceID != [2]uint64{} {
			sum := s.of("trace", string(uint64Bytes(r.TraceID[0]))+string(uint64Bytes(r.TraceID[1])))
			out.TraceID = [2]uint64{binary.LittleEndian.Uint64(sum) | 1, binary.LittleEndian.Uint64(sum[8:])}
		}
		switch r.Kind {
		case tracepb.Kind_WORKER, tracepb.Kind_BACK, tracepb.Kind_TELL, tracepb.Kind_TOLD, tracepb.Kind_LOG:
			return true // workers are named anew; messages and log lines can hold anything
		case tracepb.Kind_LIST:
			if out.Body, fault = s.list(r.Body); fault != nil {
				return false
			}
		case tracepb.Kind_NEWS, tracepb.Kind_STANDING, tracepb.Kind_TALLY:
			if out.Body, fault = numbersOnly(r.Kind, r.Body); fault != nil {
				return false
			}
		}
		if _, known := tracepb.Kind_name[int32(r.Kind)]; !known {
			return true
		}
		fault = p.writeRecord(out, s.name("worker", names[r.Worker]))
		return fault == nil
	}, hurt)
	if err == nil {
		err = fault
	}
	if err != nil {
		return err
	}
	return p.close()
}

func (s Secret) list(body []byte) ([]byte, error) {
	var in, out tracepb.List
	if err := proto.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("%w: a list: %w", ErrDamaged, err)
	}
	for _, w := range in.Workers {
		out.Workers = append(out.Workers, &tracepb.List_Worker{Id: s.name("worker", w.Id), Zone: w.Zone, Kind: w.Kind, Cell: w.Cell, State: w.State,
			Weight: w.Weight, Build: w.Build, Start: w.Start})
	}
	return proto.Marshal(&out)
}

// numbersOnly passes a body on by its known fields, which are numbers; unknown ones could be anything.
func numbersOnly(kind Kind, body []byte) ([]byte, error) {
	var m proto.Message = &tracepb.News{}
	if kind == tracepb.Kind_TALLY {
		m = &tracepb.Tally{}
	}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return proto.Marshal(m)
}
