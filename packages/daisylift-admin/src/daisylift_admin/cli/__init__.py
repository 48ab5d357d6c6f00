"""The command line of the operators' program, declared in one place."""
