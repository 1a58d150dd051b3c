//go:build race

package upstream

// raceChunkBytes is the most that the race detector allocates for each chunk of
// a body.
const raceChunkBytes = 32
