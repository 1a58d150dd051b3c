package selfreport

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Bounds of a rate limit in requests per second.
const (
	MinRateLimit = 0.5
	MaxRateLimit = 1e6
)

// maxShownBytes bounds the part of a value that an error shows.
const maxShownBytes = 40

// ErrRateLimit means that the value of a rate limit can't be read.
var ErrRateLimit = errors.New("rate limit not understood")

// ParseRateLimit returns the rate limit in requests per second that the values of a
// header field name, within MinRateLimit and MaxRateLimit; zero if they name none.
// The error wraps ErrRateLimit if a value can't be read, even if another one can.
func ParseRateLimit(values []string) (float64, error) {
	lowest := math.Inf(1)
	var failed error
	for _, value := range values {
		for _, text := range strings.Split(value, ",") {
			limit, err := parseRate(strings.TrimSpace(text))
			if err != nil {
				failed = err
				continue
			}
			lowest = min(lowest, limit)
		}
	}
	if math.IsInf(lowest, 1) {
		return 0, failed
	}
	return max(lowest, MinRateLimit), failed
}

// parseRate parses one decimal number. A number beyond the range of float64 is
// valid.
func parseRate(text string) (float64, error) {
	isDecimal := text != "" && strings.Trim(text, "0123456789.eE+-") == "" && (text[0] == '.' || text[0] >= '0' && text[0] <= '9')
	rate, err := strconv.ParseFloat(text, 64)
	if !isDecimal || err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, fmt.Errorf("%w: %q", ErrRateLimit, text[:min(len(text), maxShownBytes)])
	}
	return min(rate, MaxRateLimit), nil
}
