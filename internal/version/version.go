// Package version names the build of a program.
package version

import (
	"log/slog"
	"runtime"
	"runtime/debug"
)

// Version is the version of this source tree.
const Version = "0.2.0"

// revisionLength is the number of characters of a commit's hash that are shown.
const revisionLength = 12

// Keys of the build information that the Go toolchain records.
const (
	keyRevision = "vcs.revision"
	keyTime     = "vcs.time"
	keyModified = "vcs.modified"
)

// Build describes the build of the running program.
type Build struct {
	// Version is that of the source tree.
	Version string
	// Revision is the commit, and CommittedAt its time. They are empty if the program was
	// built without them.
	Revision, CommittedAt string
	// Modified is set if the source tree differed from the commit.
	Modified bool
	// Go is the version of the toolchain.
	Go string
}

// Current returns the build of the running program, from the information that the
// toolchain has recorded in it.
func Current() Build {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Build{Version: Version, Go: runtime.Version()}
	}
	return fromSettings(info.Settings)
}

func fromSettings(settings []debug.BuildSetting) Build {
	b := Build{Version: Version, Go: runtime.Version()}
	for _, s := range settings {
		switch s.Key {
		case keyRevision:
			b.Revision = s.Value[:min(len(s.Value), revisionLength)]
		case keyTime:
			b.CommittedAt = s.Value
		case keyModified:
			b.Modified = s.Value == "true"
		}
	}
	return b
}

// LogValue returns the build as a group of attributes.
func (b Build) LogValue() slog.Value {
	return slog.GroupValue(slog.String("version", b.Version), slog.String("revision", b.Revision),
		slog.String("committed_at", b.CommittedAt), slog.Bool("modified", b.Modified), slog.String("go", b.Go))
}
