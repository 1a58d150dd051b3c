package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"

	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix begins the name of each environment variable: the flag -log-level
// can also be set as GOOSEBERRYFLOWD_LOG_LEVEL.
const EnvPrefix = "GOOSEBERRYFLOWD"

const usage = `gooseberryflowd runs beside one upstream instance.

USAGE
  gooseberryflowd -settings FILE [-check] [-log-level LEVEL]

Each flag can also be set in the environment, for example -settings as
GOOSEBERRYFLOWD_SETTINGS. Flags take precedence over the environment. The exit
code for invalid flags or settings is 2.

FLAGS
`

type flags struct {
	file     string
	logLevel string
	check    bool
	version  bool
}

// Parse parses the command line, the environment and the settings file. It writes
// help to output. The error is flag.ErrHelp, a *UsageError or an error of Load.
func Parse(args []string, output io.Writer) (*Settings, error) {
	f, err := parseFlags(args, output)
	if err != nil {
		return nil, err
	}
	if f.version {
		return &Settings{ShowVersion: true}, nil
	}
	if f.file == "" {
		return nil, &UsageError{fmt.Errorf("-settings FILE is required")}
	}
	data, err := os.ReadFile(f.file)
	if err != nil {
		return nil, &UsageError{fmt.Errorf("read settings: %w", err)}
	}
	s, err := Load(f.file, data)
	if err != nil {
		return nil, err
	}
	s.CheckOnly = f.check
	return s, applyFlags(s, f)
}

func parseFlags(args []string, output io.Writer) (*flags, error) {
	f := &flags{}
	set := flag.NewFlagSet("gooseberryflowd", flag.ContinueOnError)
	set.SetOutput(io.Discard)
	set.StringVar(&f.file, "settings", "", "path of the settings `file` (TOML)")
	set.StringVar(&f.logLevel, "log-level", "", "override node.log_level: debug, info, warn or error")
	set.BoolVar(&f.check, "check", false, "validate the settings and exit")
	set.BoolVar(&f.version, "version", false, "print the version and exit")
	err := ff.Parse(set, args, ff.WithEnvVarPrefix(EnvPrefix))
	if err == nil && set.NArg() > 0 {
		err = fmt.Errorf("unexpected argument %q", set.Arg(0))
	}
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprint(output, usage)
		set.SetOutput(output)
		set.PrintDefaults()
		return nil, flag.ErrHelp
	}
	if err != nil {
		return nil, &UsageError{err}
	}
	return f, nil
}

func applyFlags(s *Settings, f *flags) error {
	if f.logLevel == "" {
		return nil
	}
	level, ok := parseLogLevel(f.logLevel)
	if !ok {
		return &UsageError{fmt.Errorf("-log-level %q: %s", f.logLevel, invalidLogLevel)}
	}
	s.Node.LogLevel = level
	if s.Sidecar != nil {
		s.Sidecar.LogLevel = level
	}
	return nil
}

const invalidLogLevel = "must be debug, info, warn or error"

func parseLogLevel(name string) (slog.Level, bool) {
	levels := map[string]slog.Level{
		"debug": slog.LevelDebug,
		"info":  slog.LevelInfo,
		"warn":  slog.LevelWarn,
		"error": slog.LevelError,
	}
	level, ok := levels[name]
	return level, ok
}
