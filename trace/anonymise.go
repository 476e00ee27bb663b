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

// Secret is the key from which pseudonyms are derived. A text has the same pseudonym in all files anonymised with the
// same secret, so these files can be joined. Without the secret, nobody can recover the text or verify a guess.
type Secret []byte

// minSecretBytes is the smallest size of a secret, in bytes. A shorter one could be found by brute force.
const minSecretBytes = 16

// ReadSecret reads a secret from a file. It refuses a file that others than its owner can read.
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
	if len(data) < minSecretBytes {
		return nil, fmt.Errorf("secret: %s has %d bytes; at least %d are required", path, len(data), minSecretBytes)
	}
	return data, nil
}

// keyedHash returns the HMAC-SHA256 of a text. use separates domains: equal texts with different uses get different
// hashes.
func (s Secret) keyedHash(use, text string) []byte {
	mac := hmac.New(sha256.New, s)
	mac.Write([]byte(use))
	mac.Write([]byte{0})
	mac.Write([]byte(text))
	return mac.Sum(nil)
}

// pseudonym returns the name that replaces a text.
func (s Secret) pseudonym(use, text string) string {
	if text == "" {
		return ""
	}
	return use + "-" + hex.EncodeToString(s.keyedHash(use, text)[:6])
}

// pseudonymousID returns the nonzero number that replaces a nonzero number.
func (s Secret) pseudonymousID(use string, v uint64) uint64 {
	if v == 0 {
		return 0
	}
	return binary.LittleEndian.Uint64(s.keyedHash(use, string(uint64Bytes(v)))) | 1
}

// settingWords holds the text values that anonymised settings keep. All of them are keywords of the program.
var settingWords = map[string]bool{"inquiry-like": true, "referenced": true, "once-only": true, "all": true, "zone": true, "cell": true, "push": true,
	"ask": true, "single": true, "majority": true, "clocked": true, "in-place": true, "beside": true, "product": true}

// anonymiseSettings keeps numbers, booleans and the program's keywords, and drops other values. It also drops settings
// whose names cannot be the program's own.
func (s Secret) anonymiseSettings(data []byte) ([]byte, error) {
	var original map[string]any
	if err := json.Unmarshal(data, &original); err != nil {
		return nil, fmt.Errorf("%w: settings: %w", ErrDamaged, err)
	}
	kept := map[string]any{}
	for name, v := range original {
		if !isSettingName(name) {
			continue
		}
		switch v := v.(type) {
		case bool, float64:
			kept[name] = v
		case string:
			if settingWords[v] {
				kept[name] = v
			}
		}
	}
	return json.Marshal(kept)
}

// maxIndexDigits is the largest number of digits in a row in a setting's name, enough for a list index.
const maxIndexDigits = 4

// isSettingName reports whether a name consists of lower-case letters, digits, dots and dashes, with at most
// maxIndexDigits digits in a row: a longer number could be personal, such as a phone number.
func isSettingName(name string) bool {
	digits := 0
	for _, c := range name {
		switch {
		case c >= '0' && c <= '9':
			if digits++; digits > maxIndexDigits {
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

// Anonymise writes a run without data that could identify a person. It drops texts, or replaces them by keyed hashes, and
// replaces keys and the trace ids that clients sent by keyed hashes. Times, numbers and decisions stay. It drops unknown
// fields and records.
func Anonymise(run *Run, s Secret, w io.Writer, onDamage func(path string, d Damage)) error {
	in := run.Headers[0]
	if run.origin != 0 {
		return fmt.Errorf("trace: %s is a merged file; anonymise its source files and merge the results", run.Paths[0])
	}
	settings, err := s.anonymiseSettings(in.Settings)
	if err != nil {
		return err
	}
	digest := sha256.Sum256(settings)
	header := &tracepb.Header{Version: Version, Edge: s.pseudonym("edge", in.Edge), Sentry: in.Sentry, Life: s.pseudonymousID("life", in.Life), Segment: 0,
		Wall: in.Wall, Start: in.Start, Module: in.Module, SettingsDigest: hex.EncodeToString(digest[:8]), Settings: settings, Level: LevelPart, OneIn: in.OneIn}
	if len(in.Module) != 16 || strings.Trim(in.Module, "0123456789abcdef") != "" {
		header.Module = ""
	}
	for i := range in.Products {
		header.Products = append(header.Products, fmt.Sprintf("product-%d", i))
	}
	for i := range in.Customers {
		header.Customers = append(header.Customers, fmt.Sprintf("customer-%d", i+1))
	}
	fw, err := newFileWriter(w, header)
	if err != nil {
		return err
	}
	var recordErr error
	err = run.Each(func(r *Record, names []string) bool {
		// Copy field by field, so that a field added to Record in the future is dropped rather than leaked.
		anonymised := Record{Kind: r.Kind, At: r.At, Txn: r.Txn, Serial: r.Serial, Number: r.Number, Product: r.Product, Customer: r.Customer, Ending: r.Ending,
			Key: s.pseudonymousID("key", r.Key), Cost: r.Cost, Patience: r.Patience, Elapsed: r.Elapsed, Token: r.Token, Span: r.Span, Util: r.Util,
			Queue: r.Queue, Busy: r.Busy, Repeat: r.Repeat, Over: r.Over, Loaded: r.Loaded}
		if r.TraceID != [2]uint64{} {
			sum := s.keyedHash("trace", string(uint64Bytes(r.TraceID[0]))+string(uint64Bytes(r.TraceID[1])))
			anonymised.TraceID = [2]uint64{binary.LittleEndian.Uint64(sum) | 1, binary.LittleEndian.Uint64(sum[8:])}
		}
		switch r.Kind {
		case tracepb.Kind_WORKER, tracepb.Kind_BACK, tracepb.Kind_TELL, tracepb.Kind_TOLD, tracepb.Kind_LOG:
			return true // fileWriter writes its own WORKER and BACK records; messages and log lines can hold any text
		case tracepb.Kind_LIST:
			if anonymised.Body, recordErr = s.anonymiseList(r.Body); recordErr != nil {
				return false
			}
		case tracepb.Kind_NEWS, tracepb.Kind_STANDING, tracepb.Kind_TALLY:
			if anonymised.Body, recordErr = discardUnknown(r.Kind, r.Body); recordErr != nil {
				return false
			}
		}
		if _, known := tracepb.Kind_name[int32(r.Kind)]; !known {
			return true
		}
		recordErr = fw.writeRecord(anonymised, s.pseudonym("worker", names[r.Worker]))
		return recordErr == nil
	}, onDamage)
	if err == nil {
		err = recordErr
	}
	if err != nil {
		return err
	}
	return fw.close()
}

// anonymiseList replaces the worker names in a worker list.
func (s Secret) anonymiseList(body []byte) ([]byte, error) {
	var original, anonymised tracepb.List
	if err := proto.Unmarshal(body, &original); err != nil {
		return nil, fmt.Errorf("%w: worker list: %w", ErrDamaged, err)
	}
	for _, w := range original.Workers {
		anonymised.Workers = append(anonymised.Workers, &tracepb.List_Worker{Id: s.pseudonym("worker", w.Id), Zone: w.Zone, Kind: w.Kind, Cell: w.Cell,
			State: w.State, Weight: w.Weight, Build: w.Build, Start: w.Start})
	}
	return proto.Marshal(&anonymised)
}

// discardUnknown drops a body's unknown fields, which could hold any data. Its known fields are all numbers.
func discardUnknown(kind Kind, body []byte) ([]byte, error) {
	var message proto.Message = &tracepb.News{}
	if kind == tracepb.Kind_TALLY {
		message = &tracepb.Tally{}
	}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, message); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return proto.Marshal(message)
}
