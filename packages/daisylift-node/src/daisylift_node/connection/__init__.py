"""Code and state with the lifetime of a connection: server pools, callers, peers."""
