// Package coldstart tracks whether the instance beside a node is cold and limits the
// calls per second that it gets while it is. A cold instance, for example one whose
// caches are empty, fails under a load that it bears when it is warm.
//
// # Algorithm
//
// The configuration gives a service the rate that a cold instance bears and the time
// that it is cold after a start. An instance says in heartbeats and in responses to
// health checks how much longer it is cold. It is unknown, and limited as if it were
// cold, after it has been replaced, after it could not be reached, after an evacuation
// of its failure domain, and when the node has just started. A health check ends that.
// Without one it ends after the cold time of the service, which an instance that started
// before then can't exceed.
//
// A heartbeat may come seconds after it was sent. It may therefore lengthen the cold
// time, but neither shorten it nor make an unknown instance known.
//
// After the cold time the rate doubles every rampDoubling until rampTime, so that an
// instance whose clock differs a little isn't met by its full load at once. Then there
// is no limit.
//
// # Limits
//
// An instance that becomes cold without a restart and without an evacuation gets its
// full load until its next heartbeat. A Tracker does no I/O and reads no clock.
package coldstart
