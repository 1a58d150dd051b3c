package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
)

func TestExampleFileParses(t *testing.T) {
	file, err := os.ReadFile("../docs/example.toml")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(file)
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Customers) != 2 || len(c.Keys) != 1 || len(c.Routes) != 3 || c.Retry.Allowance != 3 {
		t.Fatalf("example parsed as %+v", c)
	}
}

// invalidFile has an error on each line with a comment. The comment lists
// texts that the reported errors must contain, separated by semicolons.
const invalidFile = `failure_domains = ["a", "B!", "a"] # "B!" is not a valid name; "a" is used twice
speed = 3 # unknown key
[retry]
allowance = -1 # must be from 0 to 100
[[customers]]
name = "golf"
rate = "fast" # must be a number
burst = 0.5 # must be from 1
[[customers]] # burst: is required
name = "golf" # is used twice
rate = nan # must be from
[[keys]]
id = "short" # is not a valid key ID
customer = "tennis" # no customer is named "tennis"
salt = "zz" # must be 32 hexadecimal digits
hash = "00" # must be 64 hexadecimal digits
[[routes]]
name = "one"
service = "Maps" # is not a valid name
method = "FETCH" # must be GET
path = "maps" # must start with /
deadline = "soon" # is not a duration
priority = "urgent" # must be critical
[[routes]]
name = "two"
service = "maps"
method = "GET"
path = "/maps/{id}/now"
deadline = "11m" # must be from 1ms to 10m0s
objective = 1.0 # must be above 0
[[routes]]
name = "three"
service = "maps"
method = "GET"
path = "/maps/new/{when}" # is ambiguous with route "two"
deadline = "1s"
colour = "red" # unknown key
`

func TestParseReportsEveryErrorWithLine(t *testing.T) {
	_, err := Parse([]byte(invalidFile))
	var errs Errors
	if !errors.As(err, &errs) {
		t.Fatalf("Parse returned %v, want Errors", err)
	}
	wantCount := 0
	for i, line := range strings.Split(invalidFile, "\n") {
		_, comment, marked := strings.Cut(line, " # ")
		if !marked {
			continue
		}
		for _, reason := range strings.Split(comment, "; ") {
			wantCount++
			if !hasError(errs, i+1, reason) {
				t.Errorf("line %d: no error contains %q", i+1, reason)
			}
		}
	}
	if len(errs) != wantCount {
		t.Errorf("%d errors reported, want %d:\n%v", len(errs), wantCount, err)
	}
}

func hasError(errs Errors, line int, reason string) bool {
	for _, e := range errs {
		if e.Line == line && strings.Contains(e.Key+": "+e.Reason, reason) {
			return true
		}
	}
	return false
}

func TestParseReportsLineOfSyntaxError(t *testing.T) {
	_, err := Parse([]byte("failure_domains = [\"a\"]\n[retry\n"))
	var errs Errors
	if !errors.As(err, &errs) || len(errs) != 1 || errs[0].Line != 2 {
		t.Fatalf("Parse returned %v, want one error at line 2", err)
	}
}

func TestAmbiguousPatterns(t *testing.T) {
	tests := []struct {
		a, b string
		want bool
	}{
		{"/maps/{id}", "/maps/{name}", true},
		{"/maps/{id}/now", "/maps/new/{when}", true},
		{"/maps/{id}", "/maps/new", false},
		{"/maps/{id}", "/plans/{id}", false},
		{"/maps/{id}", "/maps/{id}/now", false},
		{"/maps", "/maps", true},
	}
	for _, test := range tests {
		if ambiguous(test.a, test.b) != test.want || ambiguous(test.b, test.a) != test.want {
			t.Errorf("%s and %s ambiguous: want %v", test.a, test.b, test.want)
		}
	}
}

func TestKeyVerifiesOnlyItsOwnSecret(t *testing.T) {
	k, secret, err := NewKey("golf")
	if err != nil {
		t.Fatal(err)
	}
	id, got, ok := SplitKey(KeyText(k.ID, secret))
	if !ok || id != k.ID || got != secret {
		t.Fatalf("SplitKey returned ID %q, ok %v", id, ok)
	}
	if !k.Verify(secret) || k.Verify(secret+"0") || k.Verify("") || (Key{}).Verify(secret) {
		t.Fatal("Verify accepted a wrong secret or rejected the right one")
	}
	if strings.Contains(k.Salt+k.Hash, secret) {
		t.Fatal("the key contains its secret")
	}
	for _, text := range []string{"", "gbf_", "gbf_12345678", "gbf_12345678_", "gbf__x", "abc_12345678_x"} {
		if _, _, ok := SplitKey(text); ok {
			t.Errorf("SplitKey accepted %q", text)
		}
	}
}

// largeFile returns an operators' file of about the size that the project is
// designed for: 52 services with ten routes each, 300 customers and 200 keys.
func largeFile() []byte {
	var b strings.Builder
	b.WriteString("failure_domains = [\"a\", \"b\", \"c\", \"d\", \"e\", \"f\"]\n[retry]\nallowance = 3\n")
	for i := range 300 {
		fmt.Fprintf(&b, "[[customers]]\nname = \"customer-%d\"\nrate = %d\nburst = 100\n", i, i+1)
	}
	for i := range 200 {
		fmt.Fprintf(&b, "[[keys]]\nid = \"%016x\"\ncustomer = \"customer-%d\"\nsalt = \"%032x\"\nhash = \"%064x\"\n", i, i, i, i)
	}
	for i := range 520 {
		fmt.Fprintf(&b, "[[routes]]\nname = \"route-%d\"\nservice = \"service-%d\"\nmethod = \"GET\"\npath = \"/items%d/{id}\"\nidempotent = true\ndeadline = \"1s\"\nobjective = 0.999\n", i, i/10, i%10)
	}
	return []byte(b.String())
}

func BenchmarkParse(b *testing.B) {
	file := largeFile()
	b.SetBytes(int64(len(file)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(file); err != nil {
			b.Fatal(err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(invalidFile))
	f.Add([]byte("failure_domains = [\"a\"]\nretry = {allowance = 3}\ncustomers = [{name = \"a\", rate = 1, burst = 1}]"))
	f.Add([]byte("[[a.b]]\n[a.b.c]\n[[a.b]]\nx = [[1, {y = 2}]]\n\"\" = 1\n\"q.[0]\" = 2"))
	f.Fuzz(func(t *testing.T, file []byte) {
		c, err := Parse(file)
		var errs Errors
		switch {
		case err == nil && len(Diff(c, c)) > 0:
			t.Error("diff of a configuration with itself is not empty")
		case err != nil && (!errors.As(err, &errs) || len(errs) == 0):
			t.Errorf("error %v is not a non-empty Errors", err)
		}
	})
}
