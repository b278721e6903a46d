// Package program implements what the main functions of all programs share: flags,
// the settings file, the log, and the signals that end a process.
package program

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/cassiachute/cassiachute/fault"
	"github.com/cassiachute/cassiachute/settings"
)

// Exit codes of all programs.
const (
	ExitOK          = 0
	ExitFailed      = 1 // any error without a code of its own
	ExitUsage       = 2 // invalid flags or arguments
	ExitConflict    = 3 // an object has changed in the meantime
	ExitInvalid     = 4 // invalid settings, document or request
	ExitUnreachable = 5 // the API or the platform could not be reached
	ExitDiffers     = 6 // a document differs from the configuration
)

// VersionFlag is the flag --version. Parse handles it for programs that embed it in
// their flags.
type VersionFlag struct {
	Version bool `long:"version" description:"print the version and exit"`
}

func (r VersionFlag) versionRequested() bool { return r.Version }

// CommonFlags holds the flags that all servers have.
type CommonFlags struct {
	VersionFlag

	Settings string `short:"s" long:"settings" env:"CASSIACHUTE_CONFIG" value-name:"FILE" description:"settings file (JSON)"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	LogLevel string `long:"level" value-name:"LEVEL" description:"lowest level of lines to log; overrides the settings"`
}

// Version returns the version of the module that the program was built from, or
// "(devel)" if it is unknown.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// Parse parses the arguments into the flags in options. It returns false and an exit
// code if the program must exit: after an error, --help or --version.
func Parse(options any, arguments []string, out io.Writer) (bool, int) {
	parser := flags.NewParser(options, flags.HelpFlag|flags.PassDoubleDash)
	rest, err := parser.ParseArgs(arguments)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(out, flagsErr.Message)
		return false, ExitOK
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return false, ExitUsage
	case len(rest) > 0:
		fmt.Fprintf(os.Stderr, "unexpected argument %q\n", rest[0])
		return false, ExitUsage
	}
	if r, ok := options.(interface{ versionRequested() bool }); ok && r.versionRequested() {
		fmt.Fprintln(out, Version())
		return false, ExitOK
	}
	return true, ExitOK
}

// Server describes a program that serves until it receives SIGTERM or SIGINT.
type Server struct {
	CommonFlags *CommonFlags
	Settings    any                                                 // pointer to the settings that the file is read into
	Check       func() error                                        // validates the settings
	LogLevel    func() string                                       // log level of the settings
	Serve       func(ctx context.Context, log zerolog.Logger) error // serves until ctx is cancelled
}

// Main parses the common flags, runs the server and returns the exit code.
func (s Server) Main(arguments []string) int {
	s.CommonFlags = &CommonFlags{}
	if proceed, code := Parse(s.CommonFlags, arguments, os.Stdout); !proceed {
		return code
	}
	return s.Run()
}

// Run loads and validates the settings, serves, and returns the exit code. The flags
// must be parsed already.
func (s Server) Run() int {
	if s.CommonFlags.Settings != "" {
		if err := settings.Load(s.CommonFlags.Settings, s.Settings); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return ExitInvalid
		}
	}
	if err := s.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitInvalid
	}
	if s.CommonFlags.Check {
		fmt.Println("the settings are in order")
		return ExitOK
	}
	log, err := NewLogger(os.Stderr, s.logLevel())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitInvalid
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := s.Serve(ctx, log); err != nil {
		log.Error().Err(err).Msg("failed")
		return ExitFailed
	}
	return ExitOK
}

// logLevel returns the level that the flag sets, or that of the settings.
func (s Server) logLevel() string {
	if s.CommonFlags.LogLevel != "" {
		return s.CommonFlags.LogLevel
	}
	return s.LogLevel()
}

// timeFormat is the format of times in log lines.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLogger returns a logger that writes JSON lines of a level or above. The error is
// marked settings.ErrInvalid.
func NewLogger(out io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fault.Mark(errors.Wrap(err, "level"), settings.ErrInvalid)
	}
	zerolog.TimeFieldFormat = timeFormat
	return zerolog.New(out).Level(parsed).With().Timestamp().Logger(), nil
}
