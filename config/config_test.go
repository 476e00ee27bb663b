package config

import (
	"strings"
	"testing"
	"time"
)

const validEdge = `(edge
  (listen "127.0.0.1:8080")
  (source (file "list.sexp"))
  (product "read" (sla 300ms) (expiry 1s) (effect inquiry-like))
  (product "book" (sla 500ms) (expiry 2s) (effect referenced) (memory 2s) (revenue 5))
  (route (prefix "/read") (product "read"))
  (route (method POST) (prefix "/book") (product "book") (key "Idempotency-Key"))
  (release (caps 12% 0.42 1) (shares 0.1 0.35 1) (window 6s) (free 3)))
`

func TestParseEdge(t *testing.T) {
	e, err := ParseEdge("e.sexp", validEdge)
	if err != nil {
		t.Fatal(err)
	}
	for name, want := range map[string]any{"products.count": 2.0, "products.1.memory": 1.75e9, "products.1.effect": "referenced",
		"release.caps.0": 0.12, "release.shares.2": 1.0, "release.window": 6e9, "sentries": 1.0, "allow.copies": true,
		"discovery": "push", "rules.cold-from": 0.3} {
		if e.ModuleSettings[name] != want {
			t.Errorf("%s: got %v, want %v", name, e.ModuleSettings[name], want)
		}
	}
	if e.Routes[1].Product != 1 || e.Products[0].Expiry != time.Second || e.ClientLimits.MaxHeadBytes != 16<<10 {
		t.Errorf("parsed as %+v", e)
	}
}

func TestInvalidEdges(t *testing.T) {
	cases := []struct {
		name              string
		valid, invalid    string // text in validEdge and its replacement
		position, message string // line and column of the error, and a part of its message
	}{
		{"unknown word", "(free 3)", "(fee 3)", "8:62", `unknown word "fee"`},
		{"wrong type", "(sla 300ms)", "(sla often)", "4:24", "found often"},
		{"no unit", "(sla 300ms)", "(sla 300)", "4:24", "found 300"},
		{"expiry before SLA time", "(expiry 1s)", "(expiry 100ms)", "4:31", "at least the SLA time"},
		{"cap out of range", "0.42", "1.42", "8:22", "from 0 to 1"},
		{"falling caps", "12% 0.42", "0.5 0.42", "8:12", "caps that do not fall"},
		{"caps and shares differ", "0.1 0.35 1", "0.1 1", "8:3", "3 caps and 2 shares"},
		{"duplicate product", `"book" (sla`, `"read" (sla`, "5:3", `a second product "read"`},
		{"duplicate field", "(sla 500ms)", "(sla 500ms) (sla 600ms)", "5:31", "a second (sla ...)"},
		{"duplicate route", `(method POST) (prefix "/book")`, `(prefix "/read")`, "7:3", "a second route"},
		{"missing product", `(product "book") (key`, `(product "buy") (key`, "7:41", `"buy"`},
		{"no route", "(route (prefix \"/read\") (product \"read\"))\n  (route (method POST) (prefix \"/book\") (product \"book\") (key \"Idempotency-Key\"))",
			"", "1:1", "without (route ...)"},
		{"missing memory", "(memory 2s)", "", "5:3", "without (memory ...)"},
		{"memory of an inquiry-like product", "(effect inquiry-like)", "(effect inquiry-like) (memory 1s)", "4:65", "referenced products only"},
		{"number that overflows", "(free 3)", "(free 1e999)", "8:68", "found 1e999"},
		{"whole number that overflows", "(listen", "(seed 99999999999999999999) (listen", "2:9", "a whole number"},
		{"held bytes below the largest bodies", "(listen", "(door (held 1MiB)) (listen", "2:9", "at least 16777216, 16 times"},
		{"size that overflows", "(listen", "(door (body 99999999999GiB)) (listen", "2:15", "a size"},
		{"not a number", "(free 3)", "(free NaN)", "8:68", "found NaN"},
		{"no address", `"127.0.0.1:8080"`, `"127.0.0.1"`, "2:3", "an address and port"},
		{"two sources", `(file "list.sexp")`, `(file "a") (api "http://b")`, "3:3", "either"},
		{"too few sentries", "(listen", "(loops 2) (sentries 1) (listen", "1:1", "within (sentries ...)"},
		{"unclosed", "(free 3)))", "(free 3))", "9:1", "unexpected token"},
		{"text after the form", "(free 3)))", "(free 3))) extra", "8:73", "found extra"},
		{"slack over half the expiry", "(release", "(rules (answer-slack 900ms)) (release", "8:3", "at most half"},
		{"no free submission", "(free 3)", "(free 0)", "8:68", "found 0"},
		{"no window", "(window 6s)", "(window 0s)", "8:58", "found 0s"},
		{"no caps", "(caps 12% 0.42 1)", "(caps)", "8:12", "(caps) without a value"},
		{"memory shorter than the connect timeout", "(memory 2s)", "(memory 200ms)", "5:63", "found 200ms"},
		{"drain grace shorter than the connect timeout", "(release", "(rules (drain-grace 100ms)) (release", "8:3", "(drain-grace 100ms)"},
		{"group by zones without any zone", "(effect referenced)", "(effect referenced) (group zone)", "5:63", "(group zone) without (zones ...)"},
		{"two zones with the same name", "(listen", "(zones a b a) (listen", "2:3", `"a" twice`},
		{"messages without peers", "(release", "(allow (messages true)) (release", "8:3", "the address of each"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !strings.Contains(validEdge, c.valid) {
				t.Fatalf("validEdge does not contain %q", c.valid)
			}
			_, err := ParseEdge("e.sexp", strings.Replace(validEdge, c.valid, c.invalid, 1))
			if err == nil {
				t.Fatal("the file was accepted")
			}
			for _, line := range strings.Split(err.Error(), "\n") {
				if strings.HasPrefix(line, "e.sexp:"+c.position+":") && strings.Contains(line, c.message) {
					return
				}
			}
			t.Errorf("got:\n%v\nwant an error at %s with %q", err, c.position, c.message)
		})
	}
}

func TestMissingFieldsAreReportedOnce(t *testing.T) {
	_, err := ParseEdge("e.sexp", `(edge (listen "127.0.0.1:1"))`)
	if errs, ok := err.(FileErrors); !ok || len(errs) != 4 { // source, product, route, release
		t.Errorf("got %v, want four errors", err)
	}
}

func TestAllErrorsAreReported(t *testing.T) {
	invalid := strings.NewReplacer("300ms", "x", "(free 3)", "(free x)", "inquiry-like", "safe").Replace(validEdge)
	_, err := ParseEdge("e.sexp", invalid)
	if errs, ok := err.(FileErrors); !ok || len(errs) != 3 {
		t.Errorf("got %v, want three errors", err)
	}
}

func TestParseWorkerList(t *testing.T) {
	l, err := ParseWorkerList("l", `(worker a (address "127.0.0.1:1") (build 3) (started 2026-12-01T10:00:00Z)) (release (build 3))`)
	if err != nil || len(l.Workers) != 1 || l.Workers[0].Build != 3 || l.Workers[0].StartedAt == 0 || l.Release.Cap != 1 {
		t.Errorf("parsed as %+v, error %v", l, err)
	}
	if _, err = ParseWorkerList("l", `(worker a (address "x") (build 70000)) (worker a (address "127.0.0.1:2"))`); err == nil || len(err.(FileErrors)) != 4 {
		t.Errorf("got %v, want four errors", err)
	}
}

// A truncated worker list must be rejected, as the workers missing from it would count as gone.
func TestTruncatedWorkerLists(t *testing.T) {
	for _, text := range []string{
		`(worker a (address "127.0.0.1:1")) ; the first
(worker b (address "127.0.0.1:2") (started 2026-12-01T10:00:00Z))
(release (build 3) (phase on-trial) (cap 10%))`,
		`(release (build 3)) (worker a (address "127.0.0.1:1")) (worker b (address "127.0.0.1:2"))`, // incomplete at any length, as the release is not last
	} {
		accepted := 0
		for n := 0; n <= len(text); n++ {
			if l, err := ParseWorkerList("l", text[:n]); err == nil {
				if accepted++; len(l.Workers) != 2 || n < len(text) {
					t.Errorf("%d of %d bytes were accepted as a complete list: %+v", n, len(text), l)
				}
			}
		}
		if complete := strings.HasSuffix(text, "10%))"); accepted != 1 && complete || accepted > 0 && !complete {
			t.Errorf("%d prefixes accepted of: %s", accepted, text)
		}
	}
}

func FuzzEdge(f *testing.F) {
	f.Add(validEdge)
	f.Add("(edge (listen))")
	f.Fuzz(func(t *testing.T, text string) { ParseEdge("e", text) }) // ParseEdge must not panic
}
