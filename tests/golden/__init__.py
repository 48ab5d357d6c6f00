"""Golden files of whole sessions: a change in behaviour shows as a readable diff."""
