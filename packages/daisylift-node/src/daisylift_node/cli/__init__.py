"""The command line of the node, declared in one place."""
