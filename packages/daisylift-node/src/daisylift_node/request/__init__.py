"""What lives as long as one request: look-up, relay, refusals."""
