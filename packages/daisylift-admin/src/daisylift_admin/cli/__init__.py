"""The command line of the operators' command."""

from daisylift_admin.cli.definition import DESCRIPTION, KEY_VARIABLE, define_flags

__all__ = ['DESCRIPTION', 'KEY_VARIABLE', 'define_flags']
