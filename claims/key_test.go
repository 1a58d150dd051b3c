package claims

import (
	"errors"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

const keyText = "01890a5d-ac96-774b-bcce-b302099a8057"

func TestParseKey(t *testing.T) {
	k, err := ParseKey(strings.ToUpper(keyText))
	if err != nil || k.String() != keyText {
		t.Fatalf("got %v, %v", k, err)
	}
	if k.MintedMS() != 0x01890a5dac96 {
		t.Errorf("minted %#x", k.MintedMS())
	}
	for _, text := range []string{"", "x", keyText + "0", strings.ReplaceAll(keyText, "-", ""), "{" + keyText[2:] + "}",
		strings.Replace(keyText, "-7", "-4", 1), strings.Replace(keyText, "-b", "-c", 1), strings.Replace(keyText, "0", "g", 1)} {
		if _, err := ParseKey(text); !errors.Is(err, ErrMalformedKey) {
			t.Errorf("%q: error %v, want ErrMalformedKey", text, err)
		}
	}
}

func TestDeriveChildKey(t *testing.T) {
	child := DeriveChildKey(keyText, "booker", "POST", "/slots", []byte("a"), 0)
	k, err := ParseKey(child)
	parent, _ := ParseKey(keyText)
	if err != nil || k.MintedMS() != parent.MintedMS() {
		t.Fatalf("child %q: %v", child, err)
	}
	if again := DeriveChildKey(strings.ToUpper(keyText), "booker", "POST", "/slots", []byte("a"), 0); again != child {
		t.Errorf("same request gave %q and %q", child, again)
	}
	others := []string{
		DeriveChildKey(child, "booker", "POST", "/slots", []byte("a"), 0),
		DeriveChildKey(keyText, "bookerP", "OST", "/slots", []byte("a"), 0),
		DeriveChildKey(keyText, "booker", "POST", "/slotsa", nil, 0),
		DeriveChildKey(keyText, "booker", "POST", "/slots", []byte("a"), 1),
	}
	for _, other := range others {
		if other == child || other == "" {
			t.Errorf("other request gave %q", other)
		}
	}
	if DeriveChildKey("none", "booker", "POST", "/", nil, 0) != "" {
		t.Error("a malformed parent key was accepted")
	}
}

func FuzzParseKey(f *testing.F) {
	f.Add(keyText)
	f.Add(strings.ToUpper(keyText))
	f.Add("urn:uuid:" + keyText)
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseKey(text)
		if err != nil {
			return
		}
		if again, err := ParseKey(k.String()); err != nil || again != k || !strings.EqualFold(text, k.String()) {
			t.Fatalf("%q parsed as %s: %v", text, k, err)
		}
	})
}

// FuzzMessages decodes arbitrary bytes as each message and handles it.
func FuzzMessages(f *testing.F) {
	for _, m := range []any{ClaimRequest{ClosedBy: Change{Member: "m"}}, ReleaseRequest{}, ClaimResponse{Verdict: VerdictEarlierTenure},
		TenureEndNotice{Change: Change{Member: "m"}, Ends: []TenureEnd{{Shard: 65535}}},
		Handover{Shard: 7, Tenures: []Tenure{{Open: true}}, Entries: []Entry{{Held: true}}}} {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		sim := newSimulation(1, 1, false)
		sim.runUntil(sim.now + 100)
		table := sim.nodes[0].table
		var claim ClaimRequest
		if cbor.Unmarshal(data, &claim) == nil && table.Claim(claim).Verdict == 0 {
			t.Error("claim without verdict")
		}
		var release ReleaseRequest
		if cbor.Unmarshal(data, &release) == nil {
			table.Release(release)
		}
		var notice TenureEndNotice
		if cbor.Unmarshal(data, &notice) == nil {
			table.ApplyNotice(notice)
		}
		var handover Handover
		if cbor.Unmarshal(data, &handover) == nil {
			table.AcceptHandover(handover)
		}
		var response ClaimResponse
		if cbor.Unmarshal(data, &response) == nil {
			r, _ := newResolver(sim.nodes[0].snap, claim)
			r.requested = append(r.requested, sim.nodes[0].member)
			if s := r.answered(response); !s.request && s.result == nil && response.Verdict != VerdictGranted {
				t.Error("call may run without a grant")
			}
		}
	})
}
