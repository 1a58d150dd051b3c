package quota

import (
	"math"

	"github.com/gooseberryflow/gooseberryflow/config"
)

// limit is what a customer may send: rate in requests per second, burst in
// requests.
type limit struct {
	rate, burst float64
}

func limitOf(c config.Customer) limit { return limit{rate: c.Rate, burst: c.Burst} }

// maxGrantedRate returns the largest sum, over all nodes, of granted rates under
// l: pools hold a part of the burst, and the granted rate is an average over
// grantedTime.
func (l limit) maxGrantedRate() float64 {
	return l.rate + poolDepthRatio*l.burst/grantedTime.Seconds()
}

// fractionUnder returns the fraction, at most 1, of what was granted under l that
// counts under the limit in force: as much as the rate has been lowered, or as
// the rate and burst together have been.
func (l limit) fractionUnder(inForce limit) float64 {
	fraction := 1.0
	if inForce.rate < l.rate {
		fraction = inForce.rate / l.rate
	}
	if granted, maxGranted := l.maxGrantedRate(), inForce.maxGrantedRate(); maxGranted < granted {
		fraction = min(fraction, maxGranted/granted)
	}
	return fraction
}

// averageWith adds the limit of the latest tick to the moving average l with the
// weight that the tick has in the granted rate. A lower limit counts in full, as
// the granted rate is scaled by fractionUnder.
func (l limit) averageWith(latest limit) limit {
	average := func(past, value float64) float64 { return min(past+grantedGain*(value-past), value) }
	return limit{rate: average(l.rate, latest.rate), burst: average(l.burst, latest.burst)}
}

// randomTokens returns the tokens of a bucket that is due an expected number of
// whole tokens, for one of many nodes that are due less than one each. The number
// is rounded up with a probability equal to its fraction, and the accrued
// fraction of the next token is drawn at random.
func randomTokens(expected float64, random uint64) float64 {
	whole := math.Floor(expected)
	if float64(random%fractionSteps)/fractionSteps < expected-whole {
		whole++
	}
	return whole + float64(random/fractionSteps%fractionSteps)/fractionSteps
}
