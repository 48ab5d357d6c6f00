"""The daisylift node: look-ups, and passing requests to backend servers."""
