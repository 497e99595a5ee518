package gateway

import (
	"marjorampitch/fleet"
)

// lowestServerPriority is the lowest priority that servers know.
const lowestServerPriority = 9

// prioritized reports whether the request is a stream of a service whose streams have
// more than one priority.
func (c *call) prioritized() bool {
	return c.service != nil && c.route.Kind == fleet.Stream && c.view.Document.Prioritized(c.service.name)
}

// priorityClass returns the place of the request's priority among those of the service's
// streams; 0 is the highest.
func (c *call) priorityClass() int {
	return c.view.Document.StreamClass(c.service.name, c.route, c.priority)
}
