// Package program is what the mains of all programs have in common: flags, the
// settings file, the log, and the signals that end a process.
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
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitInvalid  = 4
	ExitDown     = 5
	ExitDiffers  = 6
)

// Release is the flag that asks for the version. Parse answers it for programs that
// embed it in their flags.
type Release struct {
	Version bool `long:"version" description:"print the version and exit"`
}

func (r Release) asked() bool { return r.Version }

// Common are the flags of the programs that serve.
type Common struct {
	Release

	Settings string `short:"s" long:"settings" env:"CASSIACHUTE_CONFIG" value-name:"FILE" description:"settings file (JSON)"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Level    string `long:"level" value-name:"LEVEL" description:"least level of log lines, in place of the settings' own"`
}

// Version returns the version of the program.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// Parse reads the flags. It returns false and an exit code if the program is
// to end now.
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
	if r, ok := options.(interface{ asked() bool }); ok && r.asked() {
		fmt.Fprintln(out, Version())
		return false, ExitOK
	}
	return true, ExitOK
}

// Server is a program that serves until it is told to stop.
type Server struct {
	Common *Common
	Load   any                                                 // settings to read the file into
	Check  func() error                                        // checks the settings after flags are applied
	Level  func() string                                       // log level of the settings
	Serve  func(ctx context.Context, log zerolog.Logger) error // runs until the context ends
}

// Main reads the flags of a program that serves, runs it and returns its exit
// code.
func (s Server) Main(arguments []string) int {
	s.Common = &Common{}
	if proceed, code := Parse(s.Common, arguments, os.Stdout); !proceed {
		return code
	}
	return s.Run()
}

// Run runs the program and returns its exit code.
func (s Server) Run() int {
	if s.Common.Settings != "" {
		if err := settings.Load(s.Common.Settings, s.Load); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return ExitInvalid
		}
	}
	if err := s.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitInvalid
	}
	if s.Common.Check {
		fmt.Println("the settings are in order")
		return ExitOK
	}
	log, err := NewLog(os.Stderr, s.level())
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

func (s Server) level() string {
	if s.Common.Level != "" {
		return s.Common.Level
	}
	return s.Level()
}

// timeFormat is that of the time in log lines.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// NewLog returns a log of JSON lines. The error is marked settings.ErrInvalid.
func NewLog(out io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), fault.Mark(errors.Wrap(err, "level"), settings.ErrInvalid)
	}
	zerolog.TimeFieldFormat = timeFormat
	return zerolog.New(out).Level(parsed).With().Timestamp().Logger(), nil
}
