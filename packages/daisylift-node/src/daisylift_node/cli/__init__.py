"""The command line of the node."""

from daisylift_node.cli.definition import DESCRIPTION, define_flags, settings_path

__all__ = ['DESCRIPTION', 'define_flags', 'settings_path']
