// Package crowd tests what processes of the system do when crowds of clients misbehave:
// clients that stop midway, send too much, send requests of very many fields, send or read
// slowly, or take connections and do nothing with them. So do servers that answer them
// with heads that are none, or without end.
//
// The tests start the built program on loopback addresses with lowered limits of its memory
// and descriptors, and read its memory and descriptors from outside. They check only what
// does not depend on the speed of the machine: that the process lives, that it stays within
// its limits, and that an ordinary request is answered while the crowd is there and after
// it has left. They run one at a time.
package crowd
