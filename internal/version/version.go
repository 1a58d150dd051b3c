// Package version holds the version that both commands print.
package version

// Version is the version of this source tree.
const Version = "0.1.0"
