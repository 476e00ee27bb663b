package wire

import (
	"bytes"
	"strings"
	"testing"

	"dunegrade/logic"
)

const initLine = `["init",3,42,{"balancers":1,"newThing":{"a":[1,{"b":null}]},"discovery":"ask","locality":"north",` +
	`"localities":["north","south"],"skus":["big"],"caps":{"maxAttempts":3,"mayDuplicate":true,"cancel":true,` +
	`"maxRetryAfter":400000},"classes":[{"name":"read","repeat":"idempotent","goalTime":300000,"deadline":900000},` +
	`{"name":"pay","repeat":"at_most_once","goalTime":300000,"deadline":900000}],"realms":[{"name":"east"}],` +
	`"familyInfo":{"voteMode":"single","oneWay":true,"stageCap":[0.1,1]},` +
	`"report":{"fields":["novel","pending"],"via":"piggyback"}}]`

const listLines = `["census",0,[["10.0.0.1:7000","north","big",0,"up",1,41,null]]]
["census",0,[["10.0.0.2:7000","south","big",1,"up",1,41,null]]]
["peersKnown",3,0,"restored",7]
["trialNews",3,1,0,41,1,2,5000000,0]`

// serveLines serves one batch, which starts an instance and continues with lines, and returns the output and the errors.
func serveLines(t *testing.T, lines string) (string, string) {
	t.Helper()
	var out, errs bytes.Buffer
	in := "[\"mark\",1000000]\n" + initLine + "\n" + listLines + "\n" + lines + "\n[\"eofBatch\"]\n"
	if err := Serve(strings.NewReader(in), &out, &errs); err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(out.String(), "[\"done\"]\n") {
		t.Errorf("no done line in %q", out.String())
	}
	return out.String(), errs.String()
}

func TestServe(t *testing.T) {
	take := `["knock",3,"553760735d3a91c4","east","pay",1,"acct/k",12000,1800000]`
	for _, c := range []struct{ name, lines, out string }{
		{"a page replaces an earlier one of the same number", take, `["issue",3,"553760735d3a91c4",0,"10.0.0.2:7000"]`},
		{"a txn without expected work, key and customer", `["knock",3,"553760735d3a91c4",null,"read",0,null,null,1800000]`, `["issue",3,`},
		{"watches the worker list", "", `["watch",3,true]`},
		{"an outcome with a load report", take + "\n" + `["completed",3,"553760735d3a91c4",0,"10.0.0.2:7000",13,900,false,[1,2]]`,
			`["reportFailure",3,"553760735d3a91c4"]`},
		{"declined after the worker rejected every submission", take + strings.Repeat("\n"+`["completed",3,"553760735d3a91c4",0,"10.0.0.2:7000",8,900,false]`, 1) +
			"\n" + `["completed",3,"553760735d3a91c4",1,"10.0.0.2:7000",8,900,false,null]` +
			"\n" + `["completed",3,"553760735d3a91c4",2,"10.0.0.2:7000",8,900,false,null]`, `["refuse",3,"553760735d3a91c4",30000]`},
		{"teardown and init in one batch", `["teardown",3]` + "\n" + initLine + "\n" + listLines + "\n" + take, `["issue",3,`},
		{"events that cause no action", `["countsByBuild",3,41,9,1,1000,"read",20]
["contested",3,"read","10.0.0.2:7000",100]
["whisper",3,2,"aGk="]
["echo",3,"10.0.0.2:7000",0,1400,[1,2]]
["dropped",3,"0000000000000001"]
["completed",3,"0000000000000001",0,"10.0.0.2:7000",0,9,true,null]
["timer",3,99999]
["trialNews",3,null,1,41,null,null,null,9]
` + take, `["issue",3,`},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, errs := serveLines(t, c.lines)
			if !strings.Contains(out, c.out) {
				t.Errorf("%s is missing in\n%s", c.out, out)
			}
			if errs != "" {
				t.Errorf("unexpected errors: %s", errs)
			}
		})
	}
}

func TestMalformedInput(t *testing.T) {
	for _, c := range []struct{ name, line, err string }{
		{"not JSON", `{oops`, "not a JSON array"},
		{"unknown message", `["greet",3]`, `message "greet" is unknown`},
		{"unknown sentry", `["timer",9,1]`, "timer for unknown sentry 9"},
		{"wrong type", `["timer",3,"x"]`, "keyBack has a wrong value"},
		{"missing value", `["knock",3]`, "opId is missing"},
		{"malformed id", `["dropped",3,"xyz"]`, `opId "xyz" is not 16 hex digits`},
		{"unknown class", `["knock",3,"553760735d3a91c4",null,"write",0,null,null,1800000]`, `class "write" is unknown`},
		{"unknown ending", `["completed",3,"553760735d3a91c4",0,"w",77,1,false,null]`, "ending 77 is unknown"},
		{"unknown page", `["peersKnown",3,5,"update",1]`, "page 5 was never sent"},
		{"unknown zone in an entry", "[\"census\",1,[[\"w\",\"west\",\"big\",0,\"up\",1,41,null]]]\n[\"peersKnown\",3,1,\"update\",8]",
			`hall "west" is unknown`},
		{"params that are not an object", `["init",4,1,[]]`, "params has a wrong value"},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, errs := serveLines(t, c.line)
			if !strings.Contains(errs, c.err) {
				t.Errorf("want %q, got %q", c.err, errs)
			}
			if strings.Contains(out, `"die"`) {
				t.Errorf("a malformed line failed the instance: %s", out)
			}
		})
	}
}

func TestPanicBecomesDieAction(t *testing.T) {
	var out bytes.Buffer
	in := &instance{number: 3, out: &out}
	in.guard(func() { panic("boom \"quoted\"") })
	if got := out.String(); got != "[\"die\",3,\"boom \\\"quoted\\\"\"]\n" {
		t.Errorf("got %s", got)
	}
}

func TestActions(t *testing.T) {
	for _, c := range []struct {
		act  func(in *instance)
		line string
	}{
		{func(in *instance) { in.Submit(0xab, "a:1", 5000) }, `["issue",3,"00000000000000ab",5,"a:1"]`},
		{func(in *instance) { in.Cancel(0xab, 1) }, `["abortAttempt",3,"00000000000000ab",1]`},
		{func(in *instance) { in.Vote(logic.VerdictBack, 41, 2) }, `["vote",3,3,41,2]`},
		{func(in *instance) { in.SetTimer(1_000_000, 1<<62) }, `["remind",3,1000,4611686018427387904]`},
		{func(in *instance) { in.SendToPeer(1, []byte("hi 7")) }, `["broadcastTo",3,1,"aGkgNw=="]`},
		{func(in *instance) { in.Log("two\nlines") }, `["trace",3,"two\nlines"]`},
	} {
		var out bytes.Buffer
		c.act(&instance{number: 3, out: &out})
		if got := strings.TrimSpace(out.String()); got != c.line {
			t.Errorf("got %s, want %s", got, c.line)
		}
	}
}
