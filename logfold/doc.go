// Package logfold decides which configuration document of a service is in
// force, from the streams of the log service alone.
//
// Fold judges the records of the stream "<service>.config" in order; two
// processes that have read to the same offset have the same document.
// Follower is the state machine of one process around it: where to start,
// what to read next, when to write a checkpoint, when the document is proved
// to be current. Runner is the loop that gives a Follower its log service,
// its peers and its clock.
package logfold

// ConfigStream returns the stream that operators publish a service's changes to.
func ConfigStream(service string) string { return service + ".config" }

// CheckpointStream returns the stream that holds a service's checkpoints.
func CheckpointStream(service string) string { return service + ".checkpoints" }

// GroupStream returns the stream that holds the claims of a service's rank groups.
func GroupStream(service string) string { return service + ".groups" }
