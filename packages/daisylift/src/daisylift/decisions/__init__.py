"""Decision logic without I/O: pure functions and state machines, time passed in."""
