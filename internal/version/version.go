// Package version holds the version printed by the commands.
package version

// Version is the version of this source tree.
const Version = "0.1.0"
