package ratelimit

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the demand estimate.
	demandWindow = time.Second
	// idleArrivals bounds the estimate by this number of arrivals in the time
	// since the last one, so that it drops soon when the arrivals stop.
	idleArrivals = 3
	// burstWindow is the time for which a lease should buffer the demand.
	burstWindow = 200 * time.Millisecond
	// minDemand is the demand, in requests per second, below which a lease is
	// given back.
	minDemand = 0.05
)

// demand estimates the arrival rate by an exponentially decayed count.
type demand struct {
	weight float64
	at     time.Time
}

func (d *demand) add(now time.Time) {
	d.weight = d.decayed(now) + 1
	if now.After(d.at) {
		d.at = now
	}
}

func (d *demand) decayed(now time.Time) float64 {
	if !now.After(d.at) {
		return d.weight
	}
	return d.weight * math.Exp(-float64(now.Sub(d.at))/float64(demandWindow))
}

// rate is the estimate in requests per second.
func (d *demand) rate(now time.Time) float64 {
	rate := d.decayed(now) / demandWindow.Seconds()
	if idle := now.Sub(d.at).Seconds(); idle > 0 {
		rate = min(rate, idleArrivals/idle)
	}
	return rate
}
