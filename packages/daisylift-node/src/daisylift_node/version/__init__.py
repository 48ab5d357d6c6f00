"""State that follows the store: configuration, shifts, servers and members."""
