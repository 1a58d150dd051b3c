//go:build !race

package upstream

const raceChunkBytes = 0
