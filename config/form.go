// Package config reads settings files and worker lists, written as S-expressions, into validated values. Each error gives
// file, line and column, the text found and what was expected, and all errors of a file are reported together.
package config

import (
	"fmt"
	"math"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// node is an S-expression: a list, a quoted string or a bare word.
type node struct {
	Pos  lexer.Position
	List *list   `parser:"  @@"`
	Text *string `parser:"| @String"`
	Word *string `parser:"| @Word"`
}

// list is a parenthesized sequence of nodes.
type list struct {
	Open  string  `parser:"@'('"`
	Items []*node `parser:"@@* ')'"`
}

// document is the sequence of nodes of a whole file.
type document struct {
	Items []*node `parser:"@@*"`
}

// grammar is the parser of S-expressions.
var grammar = participle.MustBuild[document](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Comment", Pattern: `;[^\n]*`},
		{Name: "Space", Pattern: `\s+`},
		{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Paren", Pattern: `[()]`},
		{Name: "Word", Pattern: `[^\s()";]+`},
	})),
	participle.Elide("Comment", "Space"),
	participle.Unquote("String"),
)

// String returns a short form of the node for error messages.
func (n *node) String() string {
	switch {
	case n.Text != nil:
		return strconv.Quote(*n.Text)
	case n.Word != nil:
		return *n.Word
	case len(n.List.Items) == 0:
		return "()"
	case n.List.Items[0].Word != nil:
		return "(" + *n.List.Items[0].Word + " ...)"
	}
	return "a list"
}

// FileError is an error at a position of a file.
type FileError struct {
	File         string
	Line, Column int
	Found        string
	Wanted       string
}

func (e FileError) Error() string {
	return fmt.Sprintf("%s:%d:%d: found %s, wanted %s", e.File, e.Line, e.Column, e.Found, e.Wanted)
}

// FileErrors holds all errors of a file, ordered by position.
type FileErrors []FileError

func (l FileErrors) Error() string {
	lines := make([]string, len(l))
	for i := range l {
		lines[i] = l[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Reader holds the top-level forms of a file and collects its errors. It is not safe for concurrent use.
type Reader struct {
	file string
	root *Form
	errs FileErrors
}

// ReadFile reads and parses a file. The error is FileErrors if the file could be read but is not a sequence of
// S-expressions.
func ReadFile(path string) (*Reader, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, string(text))
}

// Parse parses the text of a file; file is the file name for error messages. The error is FileErrors.
func Parse(file, text string) (*Reader, error) {
	doc, err := grammar.ParseString(file, text)
	if err != nil {
		syntaxErr := FileError{File: file, Line: 1, Column: 1, Found: "text that is not an S-expression",
			Wanted: "balanced parentheses and quotes"}
		if parseErr, ok := err.(participle.Error); ok {
			syntaxErr.Line, syntaxErr.Column = parseErr.Position().Line, parseErr.Position().Column
			syntaxErr.Found = parseErr.Message()
		}
		return nil, FileErrors{syntaxErr}
	}
	r := &Reader{file: file}
	r.root = &Form{r: r, name: "file", items: doc.Items, requested: map[string]bool{}}
	r.root.pos = lexer.Position{Line: 1, Column: 1}
	return r, nil
}

// Root returns a form whose fields are the file's top-level forms.
func (r *Reader) Root() *Form { return r.root }

// Err returns the errors found so far as FileErrors, ordered by position, or nil.
func (r *Reader) Err() error {
	if len(r.errs) == 0 {
		return nil
	}
	sort.SliceStable(r.errs, func(i, j int) bool {
		a, b := r.errs[i], r.errs[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
	return r.errs
}

func (r *Reader) addError(pos lexer.Position, found, wanted string) {
	r.errs = append(r.errs, FileError{r.file, pos.Line, pos.Column, found, wanted})
}

// Form is a list that starts with a word: (name item ...). Its items are values or fields, and fields are forms themselves.
type Form struct {
	r           *Reader
	pos         lexer.Position
	name        string
	items       []*node
	requested   map[string]bool // names of the fields looked up so far
	placeholder bool            // stands for a form whose absence was reported; its own errors are suppressed
}

// Name returns the form's first word.
func (f *Form) Name() string { return f.name }

// AddError records an error at the form's position.
func (f *Form) AddError(found, wanted string) {
	if !f.placeholder {
		f.r.addError(f.pos, found, wanted)
	}
}

// asForm returns a node as a form, or nil if it is not a list that starts with a word.
func (f *Form) asForm(n *node) *Form {
	if n.List == nil || len(n.List.Items) == 0 || n.List.Items[0].Word == nil {
		return nil
	}
	return &Form{r: f.r, pos: n.Pos, name: *n.List.Items[0].Word, items: n.List.Items[1:], requested: map[string]bool{}}
}

// Fields returns all fields with a name, in order.
func (f *Form) Fields(name string) []*Form {
	f.requested[name] = true
	var fields []*Form
	for _, n := range f.items {
		if field := f.asForm(n); field != nil && field.name == name {
			fields = append(fields, field)
		}
	}
	return fields
}

// Field returns the only field with a name, or nil if there is none. Of several fields it returns the first and, at the
// first call, records an error for each of the others.
func (f *Form) Field(name string) *Form {
	firstLookup := !f.requested[name]
	fields := f.Fields(name)
	if len(fields) == 0 {
		return nil
	}
	if firstLookup {
		for _, field := range fields[1:] {
			field.AddError(fmt.Sprintf("a second (%s ...)", name), fmt.Sprintf("one (%s ...) in (%s ...)", name, f.name))
		}
	}
	return fields[0]
}

// RequireField is like Field, but records an error and returns an empty form if the field is missing.
func (f *Form) RequireField(name string) *Form {
	if field := f.Field(name); field != nil {
		return field
	}
	f.AddError(fmt.Sprintf("(%s ...) without (%s ...)", f.name, name), fmt.Sprintf("a field (%s ...)", name))
	return &Form{r: f.r, pos: f.pos, name: name, requested: map[string]bool{}, placeholder: true}
}

// RejectUnknown records an error for each item that is not a field looked up before. It has to be called after all fields
// were read.
func (f *Form) RejectUnknown() {
	var names []string
	for n := range f.requested {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range f.items {
		field := f.asForm(n)
		if field == nil {
			f.r.addError(n.Pos, n.String(), fmt.Sprintf("a field of (%s ...): %s", f.name, strings.Join(names, ", ")))
		} else if !f.requested[field.name] {
			f.r.addError(n.Pos, fmt.Sprintf("unknown word %q", field.name),
				fmt.Sprintf("a field of (%s ...): %s", f.name, strings.Join(names, ", ")))
		}
	}
}

// singleValue returns the form's only value, or nil after recording an error.
func (f *Form) singleValue(wanted string) *node {
	if len(f.items) == 1 && f.items[0].List == nil {
		return f.items[0]
	}
	switch {
	case len(f.items) == 0:
		f.AddError(fmt.Sprintf("(%s) without a value", f.name), wanted)
	case len(f.items) > 1:
		f.r.addError(f.items[1].Pos, f.items[1].String(), "one value only: "+wanted)
	default:
		f.r.addError(f.items[0].Pos, f.items[0].String(), wanted)
	}
	return nil
}

// literalText returns the text of a string or word.
func literalText(n *node) string {
	if n.Text != nil {
		return *n.Text
	}
	return *n.Word
}

// readValue parses the value of a field. It returns fallback if the field is missing or invalid, and records an error if
// the field is invalid.
func readValue[T any](f *Form, name string, fallback T, wanted string, parse func(string) (T, bool)) T {
	field := f.Field(name)
	if field == nil {
		return fallback
	}
	n := field.singleValue(wanted)
	if n == nil {
		return fallback
	}
	v, ok := parse(literalText(n))
	if !ok {
		f.r.addError(n.Pos, n.String(), wanted)
		return fallback
	}
	return v
}

// Text reads a non-empty string.
func (f *Form) Text(name, fallback string) string {
	return readValue(f, name, fallback, "a non-empty string", func(s string) (string, bool) { return s, s != "" })
}

// Bool reads true or false.
func (f *Form) Bool(name string, fallback bool) bool {
	return readValue(f, name, fallback, "true or false", func(s string) (bool, bool) { return s == "true", s == "true" || s == "false" })
}

// OneOf reads a word that has to be one of words.
func (f *Form) OneOf(name, fallback string, words ...string) string {
	return readValue(f, name, fallback, "one of "+strings.Join(words, ", "), func(s string) (string, bool) {
		for _, w := range words {
			if s == w {
				return s, true
			}
		}
		return "", false
	})
}

// Int reads an integer from minimum to maximum.
func (f *Form) Int(name string, fallback, minimum, maximum int64) int64 {
	return readValue(f, name, fallback, fmt.Sprintf("a whole number from %d to %d", minimum, maximum),
		func(s string) (int64, bool) {
			v, err := strconv.ParseInt(s, 10, 64)
			return v, err == nil && v >= minimum && v <= maximum
		})
}

// Float reads a number from minimum to maximum, either plain or as a percentage.
func (f *Form) Float(name string, fallback, minimum, maximum float64) float64 {
	return readValue(f, name, fallback, fmt.Sprintf("a number from %g to %g", minimum, maximum), func(s string) (float64, bool) {
		return parseNumber(s, minimum, maximum)
	})
}

// parseNumber parses a number or percentage, and reports whether it is valid and within the limits.
func parseNumber(s string, minimum, maximum float64) (float64, bool) {
	scale := 1.0
	if digits, ok := strings.CutSuffix(s, "%"); ok {
		s, scale = digits, 0.01
	}
	v, err := strconv.ParseFloat(s, 64)
	v *= scale
	return v, err == nil && !math.IsNaN(v) && v >= minimum && v <= maximum
}

// Duration reads a duration with its unit, such as 250ms or 1.5s, from minimum to maximum.
func (f *Form) Duration(name string, fallback, minimum, maximum time.Duration) time.Duration {
	return readValue(f, name, fallback, fmt.Sprintf("a time from %v to %v, such as 250ms or 1.5s", minimum, maximum),
		func(s string) (time.Duration, bool) {
			v, err := time.ParseDuration(s)
			return v, err == nil && v >= minimum && v <= maximum
		})
}

// byteUnits holds the suffixes of sizes. The first that matches applies, so B and the empty suffix come last.
var byteUnits = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

// Bytes reads a size in bytes, such as 64KiB, from minimum to maximum.
func (f *Form) Bytes(name string, fallback, minimum, maximum int64) int64 {
	return readValue(f, name, fallback, fmt.Sprintf("a size from %d to %d bytes, such as 64KiB", minimum, maximum),
		func(s string) (int64, bool) {
			for _, u := range byteUnits {
				if digits, ok := strings.CutSuffix(s, u.suffix); ok {
					v, err := strconv.ParseInt(digits, 10, 64)
					if err != nil || v > math.MaxInt64/u.factor {
						return 0, false
					}
					return v * u.factor, v*u.factor >= minimum && v*u.factor <= maximum
				}
			}
			return 0, false
		})
}

// Texts reads a field that holds any number of non-empty strings. It returns nil if the field is missing.
func (f *Form) Texts(name string) []string {
	field := f.Field(name)
	if field == nil {
		return nil
	}
	var texts []string
	for _, n := range field.items {
		if n.List != nil || literalText(n) == "" {
			f.r.addError(n.Pos, n.String(), "a non-empty string")
			continue
		}
		texts = append(texts, literalText(n))
	}
	return texts
}

// Floats reads a field that holds any number of numbers, each from minimum to maximum. It returns nil if the field is
// missing.
func (f *Form) Floats(name string, minimum, maximum float64) []float64 {
	field := f.Field(name)
	if field == nil {
		return nil
	}
	values := make([]float64, len(field.items)) // with an element for each invalid item, so that no error on the count follows
	for i, n := range field.items {
		ok := n.List == nil
		if ok {
			values[i], ok = parseNumber(literalText(n), minimum, maximum)
		}
		if !ok {
			f.r.addError(n.Pos, n.String(), fmt.Sprintf("a number from %g to %g", minimum, maximum))
			values[i] = maximum
		}
	}
	return values
}

// TakeName removes the form's first item, a word or string that names the form, and returns its text.
func (f *Form) TakeName(wanted string) string {
	if len(f.items) == 0 || f.items[0].List != nil {
		f.AddError(fmt.Sprintf("(%s ...) without a name", f.name), wanted)
		return ""
	}
	n := f.items[0]
	f.items = f.items[1:]
	return literalText(n)
}

// OptionalField is like Field, but returns an empty form if the field is missing, so that the form's fields take their
// defaults.
func (f *Form) OptionalField(name string) *Form {
	if field := f.Field(name); field != nil {
		return field
	}
	return &Form{r: f.r, pos: f.pos, name: name, requested: map[string]bool{}}
}
