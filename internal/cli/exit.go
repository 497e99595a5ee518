package cli

import (
	"errors"
	"fmt"
)

// ExitCode is the exit status of a command.
type ExitCode int

// Exit codes of the command line.
const (
	ExitOK       ExitCode = 0 // success
	ExitError    ExitCode = 1 // the command failed, for example a file could not be read or the log service not reached
	ExitUsage    ExitCode = 2 // invalid flags or arguments
	ExitInvalid  ExitCode = 3 // the document or settings file is invalid
	ExitConflict ExitCode = 4 // refused: the base version is no longer the current one
	ExitUnknown  ExitCode = 5 // the outcome of the change is unknown; "config resolve" determines it
	ExitDiffers  ExitCode = 6 // "config diff" found differences, or the document is not in force in every process ("config status", --wait)
	ExitUnsafe   ExitCode = 7 // refused without --force: a pool would have no backend server that accepts new work
	ExitFindings ExitCode = 8 // "check" found entries without effect or contradictions
)

// exitError is an error with the exit code that the command ends with.
type exitError struct {
	code ExitCode
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// exit returns an error that makes the command end with code.
func exit(code ExitCode, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for the error of a command; it is ExitError for
// errors that carry none.
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
