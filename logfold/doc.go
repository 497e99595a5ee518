// Package logfold replays the streams of the log service and derives the active
// service configuration from them alone.
//
// State applies the records of the stream "<service>.config" in order, so two
// processes that have read up to the same offset have the same document.
// Follower is the state machine of one process, without I/O. It decides where
// to start reading, what to read next, when to write a checkpoint and whether
// the document is proved to be current. Runner is the event loop that connects
// a Follower with the log service, the peers and the clock.
package logfold

// ConfigStream returns the name of the stream with the configuration changes of a service.
func ConfigStream(service string) string { return service + ".config" }

// CheckpointStream returns the name of the stream with the checkpoints of a service.
func CheckpointStream(service string) string { return service + ".checkpoints" }

// GroupStream returns the name of the stream with the claims of the rank groups of a service.
func GroupStream(service string) string { return service + ".groups" }
