//go:build race

package upstream

// raceChunkBytes is what the race detector allocates at most for each chunk of a body.
const raceChunkBytes = 32
