"""Code and state with the lifetime of one request: lookup, relay, refusals."""
