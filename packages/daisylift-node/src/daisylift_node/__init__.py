"""The daisylift node: answers lookups and forwards requests to backend servers."""
