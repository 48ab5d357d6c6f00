"""The operators' command for daisylift."""
