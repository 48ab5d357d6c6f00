"""The command line options of the node."""

from pathlib import Path

from absl import flags

DESCRIPTION = """A daisylift entry VM: answers lookups and forwards requests.

If the settings have a [store] section, it runs on a platform that stores all persistent
state; otherwise it serves the project's own interface.

Usage:
  daisyliftd --settings FILE [--check]
"""


def define_flags() -> flags.FlagValues:
    """Return a new set of the node's options."""
    values = flags.FlagValues()
    flags.DEFINE_string(
        'settings',
        None,
        'The INI file with the settings of this VM.',
        short_name='s',
        flag_values=values,
    )
    flags.DEFINE_bool(
        'check',
        False,
        'Check the settings, print the result and exit.',
        flag_values=values,
    )
    flags.DEFINE_bool('help', False, 'Show this help.', flag_values=values)
    return values


def settings_path(values: flags.FlagValues) -> Path | None:
    """Return the path of the settings file, or None if it was not given."""
    return Path(values.settings) if values.settings else None
