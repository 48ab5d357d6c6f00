"""Golden files of complete sessions, so that changed behaviour shows as a diff."""
