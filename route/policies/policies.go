// Package policies registers all routing policies of the project. It is imported
// for this side effect only.
package policies

import (
	_ "marjorampitch/route/affinity"   // registers "affinity"
	_ "marjorampitch/route/bounded"    // registers "bounded"
	_ "marjorampitch/route/leastconn"  // registers "leastconn"
	_ "marjorampitch/route/leastwork"  // registers "leastwork"
	_ "marjorampitch/route/random"     // registers "random"
	_ "marjorampitch/route/roundrobin" // registers "roundrobin"
)
