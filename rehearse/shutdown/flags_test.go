package shutdown

import "flag"

// seeds is how many times each play is run, with a seed of its own each time. More than one is for long runs by hand.
var seeds = flag.Int("shutdown.seeds", 1, "seeds of each play")
