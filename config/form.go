// Package config reads S-expressions into checked values. Every fault names file, line and column, what was
// found and what was wanted, and all faults of a file are told at once.
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

// node is one S-expression: a list, a text in quotes or a bare word.
type node struct {
	Pos  lexer.Position
	List *list   `parser:"  @@"`
	Text *string `parser:"| @String"`
	Word *string `parser:"| @Word"`
}

type list struct {
	Open  string  `parser:"@'('"`
	Items []*node `parser:"@@* ')'"`
}

type document struct {
	Items []*node `parser:"@@*"`
}

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

// FileError is one thing wrong with a file.
type FileError struct {
	File         string
	Line, Column int
	Found        string
	Wanted       string
}

func (f FileError) Error() string {
	return fmt.Sprintf("%s:%d:%d: found %s, wanted %s", f.File, f.Line, f.Column, f.Found, f.Wanted)
}

// FileErrors are all that is wrong with a file, in the order of its text.
type FileErrors []FileError

func (f FileErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Reader holds one file's top-level forms and gathers its faults. It is for one goroutine.
type Reader struct {
	file   string
	root   *Form
	faults FileErrors
}

// ReadFile parses a file. The error is Faults where the text is no S-expression, else that of reading.
func ReadFile(path string) (*Reader, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Read(path, string(text))
}

// Read parses a text; file is the name that faults give.
func Read(file, text string) (*Reader, error) {
	doc, err := grammar.ParseString(file, text)
	if err != nil {
		f := FileError{File: file, Line: 1, Column: 1, Found: "text that is no S-expression", Wanted: "balanced parentheses and quotes"}
		if pe, ok := err.(participle.Error); ok {
			f.Line, f.Column = pe.Position().Line, pe.Position().Column
			f.Found = pe.Message()
		}
		return nil, FileErrors{f}
	}
	r := &Reader{file: file}
	r.root = &Form{r: r, name: "file", items: doc.Items, asked: map[string]bool{}}
	r.root.pos = lexer.Position{Line: 1, Column: 1}
	return r, nil
}

// Root is the form that holds the file's top-level forms as its fields.
func (r *Reader) Root() *Form { return r.root }

// Err gives all faults found so far, in the order of the text, or nil.
func (r *Reader) Err() error {
	if len(r.faults) == 0 {
		return nil
	}
	sort.SliceStable(r.faults, func(i, j int) bool {
		a, b := r.faults[i], r.faults[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
	return r.faults
}

func (r *Reader) fault(at lexer.Position, found, wanted string) {
	r.faults = append(r.faults, FileError{r.file, at.Line, at.Column, found, wanted})
}

// Form is a list that opens with a word: (name item ...). Its items are values, or fields: forms in turn.
type Form struct {
	r     *Reader
	pos   lexer.Position
	name  string
	items []*node
	asked map[string]bool // the fields that were asked for
	ghost bool            // stands for a form that is missing, which was told; no more faults of it
}

// Name is the form's first word.
func (f *Form) Name() string { return f.name }

// AddError records that what stands here is not what is wanted.
func (f *Form) AddError(found, wanted string) {
	if !f.ghost {
		f.r.fault(f.pos, found, wanted)
	}
}

func (f *Form) form(n *node) *Form {
	if n.List == nil || len(n.List.Items) == 0 || n.List.Items[0].Word == nil {
		return nil
	}
	return &Form{r: f.r, pos: n.Pos, name: *n.List.Items[0].Word, items: n.List.Items[1:], asked: map[string]bool{}}
}

// Fields gives all fields of a name, in order.
func (f *Form) Fields(name string) []*Form {
	f.asked[name] = true
	var out []*Form
	for _, n := range f.items {
		if g := f.form(n); g != nil && g.name == name {
			out = append(out, g)
		}
	}
	return out
}

// Field gives the one field of a name, or nil where there is none; a second one is a fault.
func (f *Form) Field(name string) *Form {
	first := !f.asked[name]
	all := f.Fields(name)
	if len(all) == 0 {
		return nil
	}
	if first {
		for _, g := range all[1:] {
			g.AddError(fmt.Sprintf("a second (%s ...)", name), fmt.Sprintf("one (%s ...) in (%s ...)", name, f.name))
		}
	}
	return all[0]
}

// RequireField is Sub, but a field that is missing is a fault; then it gives an empty form.
func (f *Form) RequireField(name string) *Form {
	if g := f.Field(name); g != nil {
		return g
	}
	f.AddError(fmt.Sprintf("(%s ...) without (%s ...)", f.name, name), fmt.Sprintf("a field (%s ...)", name))
	return &Form{r: f.r, pos: f.pos, name: name, asked: map[string]bool{}, ghost: true}
}

// RejectUnknown records a fault for each item that no call has asked for. Call it when all fields were read.
func (f *Form) RejectUnknown() {
	var names []string
	for n := range f.asked {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range f.items {
		g := f.form(n)
		if g == nil {
			f.r.fault(n.Pos, n.String(), fmt.Sprintf("a field of (%s ...): %s", f.name, strings.Join(names, ", ")))
		} else if !f.asked[g.name] {
			f.r.fault(n.Pos, fmt.Sprintf("unknown word %q", g.name),
				fmt.Sprintf("a field of (%s ...): %s", f.name, strings.Join(names, ", ")))
		}
	}
}

// value gives the form's only value, or nil after recording a fault.
func (f *Form) value(wanted string) *node {
	if len(f.items) == 1 && f.items[0].List == nil {
		return f.items[0]
	}
	switch {
	case len(f.items) == 0:
		f.AddError(fmt.Sprintf("(%s) without a value", f.name), wanted)
	case len(f.items) > 1:
		f.r.fault(f.items[1].Pos, f.items[1].String(), "one value only: "+wanted)
	default:
		f.r.fault(f.items[0].Pos, f.items[0].String(), wanted)
	}
	return nil
}

func raw(n *node) string {
	if n.Text != nil {
		return *n.Text
	}
	return *n.Word
}

// parsed reads the value of the field by a parser; a field that is absent gives otherwise.
func parsed[T any](f *Form, name string, otherwise T, wanted string, parse func(string) (T, bool)) T {
	g := f.Field(name)
	if g == nil {
		return otherwise
	}
	n := g.value(wanted)
	if n == nil {
		return otherwise
	}
	v, ok := parse(raw(n))
	if !ok {
		f.r.fault(n.Pos, n.String(), wanted)
		return otherwise
	}
	return v
}

// Text reads a text of at least one character.
func (f *Form) Text(name, otherwise string) string {
	return parsed(f, name, otherwise, "a text", func(s string) (string, bool) { return s, s != "" })
}

// Bool reads true or false.
func (f *Form) Bool(name string, otherwise bool) bool {
	return parsed(f, name, otherwise, "true or false", func(s string) (bool, bool) { return s == "true", s == "true" || s == "false" })
}

// OneOf reads one of some words.
func (f *Form) OneOf(name, otherwise string, words ...string) string {
	return parsed(f, name, otherwise, "one of "+strings.Join(words, ", "), func(s string) (string, bool) {
		for _, w := range words {
			if s == w {
				return s, true
			}
		}
		return "", false
	})
}

// Int reads a whole number from least to most.
func (f *Form) Int(name string, otherwise, least, most int64) int64 {
	return parsed(f, name, otherwise, fmt.Sprintf("a whole number from %d to %d", least, most),
		func(s string) (int64, bool) {
			v, err := strconv.ParseInt(s, 10, 64)
			return v, err == nil && v >= least && v <= most
		})
}

// Float reads a number from least to most; a share may be written in percent.
func (f *Form) Float(name string, otherwise, least, most float64) float64 {
	return parsed(f, name, otherwise, fmt.Sprintf("a number from %g to %g", least, most), func(s string) (float64, bool) {
		return number(s, least, most)
	})
}

func number(s string, least, most float64) (float64, bool) {
	scale := 1.0
	if t, cut := strings.CutSuffix(s, "%"); cut {
		s, scale = t, 0.01
	}
	v, err := strconv.ParseFloat(s, 64)
	v *= scale
	return v, err == nil && !math.IsNaN(v) && v >= least && v <= most
}

// Duration reads a length of time with its unit, such as 250ms or 1.5s, from least to most.
func (f *Form) Duration(name string, otherwise, least, most time.Duration) time.Duration {
	return parsed(f, name, otherwise, fmt.Sprintf("a time from %v to %v, such as 250ms or 1.5s", least, most),
		func(s string) (time.Duration, bool) {
			v, err := time.ParseDuration(s)
			return v, err == nil && v >= least && v <= most
		})
}

var sizes = []struct {
	unit string
	many int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

// Bytes reads a number of bytes, such as 64KiB, from least to most.
func (f *Form) Bytes(name string, otherwise, least, most int64) int64 {
	return parsed(f, name, otherwise, fmt.Sprintf("a size from %d to %d bytes, such as 64KiB", least, most),
		func(s string) (int64, bool) {
			for _, u := range sizes {
				if t, cut := strings.CutSuffix(s, u.unit); cut {
					v, err := strconv.ParseInt(t, 10, 64)
					if err != nil || v > math.MaxInt64/u.many {
						return 0, false
					}
					return v * u.many, v*u.many >= least && v*u.many <= most
				}
			}
			return 0, false
		})
}

// Texts reads a field of any number of texts.
func (f *Form) Texts(name string) []string {
	g := f.Field(name)
	if g == nil {
		return nil
	}
	var out []string
	for _, n := range g.items {
		if n.List != nil || raw(n) == "" {
			f.r.fault(n.Pos, n.String(), "a text")
			continue
		}
		out = append(out, raw(n))
	}
	return out
}

// Floats reads a field of numbers, each from least to most.
func (f *Form) Floats(name string, least, most float64) []float64 {
	g := f.Field(name)
	if g == nil {
		return nil
	}
	out := make([]float64, len(g.items)) // as many as stand there, or a fault would bring others
	for i, n := range g.items {
		ok := n.List == nil
		if ok {
			out[i], ok = number(raw(n), least, most)
		}
		if !ok {
			f.r.fault(n.Pos, n.String(), fmt.Sprintf("a number from %g to %g", least, most))
			out[i] = most
		}
	}
	return out
}

// TakeName takes the form's first item, a bare word or text that names it, and leaves the rest as fields.
func (f *Form) TakeName(wanted string) string {
	if len(f.items) == 0 || f.items[0].List != nil {
		f.AddError(fmt.Sprintf("(%s ...) without a name", f.name), wanted)
		return ""
	}
	n := f.items[0]
	f.items = f.items[1:]
	return raw(n)
}

// OptionalField is Sub, but a field that is missing gives an empty form, so that its defaults hold.
func (f *Form) OptionalField(name string) *Form {
	if g := f.Field(name); g != nil {
		return g
	}
	return &Form{r: f.r, pos: f.pos, name: name, asked: map[string]bool{}}
}
