package selfreport

import (
	"strings"
	"testing"
)

// A rate limit that can't be read must neither lift a limit nor end the process, and
// a limit of nothing must leave room to learn that it has ended.
func TestParseRateLimit(t *testing.T) {
	digits := strings.Repeat("9", 400)
	cases := map[string]struct {
		values []string
		want   float64
		valid  bool
	}{
		"none named":             {nil, 0, true},
		"decimal":                {[]string{"58.8"}, 58.8, true},
		"spaces":                 {[]string{" 7 "}, 7, true},
		"fraction below one":     {[]string{"0.7"}, 0.7, true},
		"almost nothing":         {[]string{"0.0001"}, MinRateLimit, true},
		"zero":                   {[]string{"0"}, MinRateLimit, true},
		"exponent":               {[]string{"5e-05"}, MinRateLimit, true},
		"hundreds of digits":     {[]string{digits}, MaxRateLimit, true},
		"hundreds of zeros":      {[]string{strings.Repeat("0", 400) + "5"}, 5, true},
		"long fraction":          {[]string{"2." + digits}, 3, true},
		"negative":               {[]string{"-5"}, 0, false},
		"not a number":           {[]string{"nan"}, 0, false},
		"infinite":               {[]string{"inf"}, 0, false},
		"hexadecimal":            {[]string{"0x10"}, 0, false},
		"text":                   {[]string{"many"}, 0, false},
		"empty":                  {[]string{""}, 0, false},
		"two that disagree":      {[]string{"50", "40"}, 40, true},
		"a list":                 {[]string{"50, 60"}, 50, true},
		"one of two is readable": {[]string{"x", "40"}, 40, false},
	}
	for name, c := range cases {
		got, err := ParseRateLimit(c.values)
		if got != c.want || (err == nil) != c.valid {
			t.Errorf("%s: %g, %v; want %g, valid %v", name, got, err, c.want, c.valid)
		}
		if err != nil && len(err.Error()) > 200 {
			t.Errorf("%s: the error shows the whole value", name)
		}
	}
}
