package cli

import (
	"errors"
	"fmt"
)

// ExitCode is the status that a command ends with.
type ExitCode int

// Exit codes of the command line.
const (
	ExitOK       ExitCode = 0 // done
	ExitError    ExitCode = 1 // the command failed: a file, the platform or a process could not be reached
	ExitUsage    ExitCode = 2 // the command line is wrong
	ExitInvalid  ExitCode = 3 // a file fails its checks
	ExitConflict ExitCode = 4 // refused: the document was changed since the base version
	ExitUnknown  ExitCode = 5 // the fate of the change is unknown; "config resolve" tells
	ExitDiffers  ExitCode = 6 // "config diff": there are differences; "config status", "--wait": not in force everywhere
	ExitUnsafe   ExitCode = 7 // refused without --force: nothing would be left to take work
)

// exitError ends a command with a code other than ExitError.
type exitError struct {
	code ExitCode
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// exit returns an error that ends the command with a code.
func exit(code ExitCode, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// exitCode returns the code that err ends a command with.
func exitCode(err error) ExitCode {
	var e *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.code
	}
	return ExitError
}
