"""The commands and options of the operators' command."""

from absl import flags

from daisylift_admin.cli.arguments import NodeAddressParser
from daisylift_admin.client import NodeAddress

DEFAULT_NODE = NodeAddress(host='127.0.0.1', port=7300)
DEFAULT_VM = NodeAddress(host='127.0.0.1', port=9464)
KEY_VARIABLE = 'DAISYLIFT_OPERATOR_KEY'

DESCRIPTION = f"""Operates daisylift by calls to any of its nodes.

Commands:
  policy show                        Print the policy in force.
  policy put FILE                    Replace the policy with the one in a JSON file.
  server drain SERVICE SERVER        Send no new requests to a backend server.
  server undrain SERVICE SERVER      Send requests to it again.
  entry-vm drain|undrain ORDINAL     Exclude an entry VM from lookups, or include it.
  domain drain|undrain DOMAIN        Shift all traffic away from a failure domain.
  region drain|undrain REGION        Shift all traffic away from a region.
  region evacuate REGION             The same for a lost region, with a separate cap.
  shift start SHIFT SERVICE FROM TO  Move --target_share of the traffic of sites
                                     FROM (comma-separated) to sites TO, in stages.
  shift abort|resume|reverse SHIFT   Stop it at its current stage, continue or undo it.
  shift show                         Show the shifts and their progress.
  blocks load FILE                   Set home sites; lines of BLOCK SITE, where BLOCK
                                     is CIDR or START-END; at most 20,000 lines.
  status                             Show the members that the node knows.
  explain REQUEST_ID [FILE...]       Show from the logs of entry VMs what happened to a
                                     request; without files, read standard input.
  where HOST PATH                    Show where the entry VM --vm would send a request
                                     now, and why, without sending it. --tenant,
                                     --failure_domain and --object describe it.

The shared key is read from the environment variable {KEY_VARIABLE}; explain and where
need none.
"""


def define_flags() -> flags.FlagValues:
    """Return a new set of the command's options."""
    values = flags.FlagValues()
    flags.DEFINE(
        NodeAddressParser(),
        'node',
        DEFAULT_NODE,
        'The node to call.',
        flag_values=values,
        short_name='n',
    )
    flags.DEFINE_integer(
        'base_version',
        None,
        'The version that the change is based on (default: the version of the node).',
        lower_bound=0,
        flag_values=values,
    )
    flags.DEFINE_string(
        'operation_id',
        None,
        'Identifies the change, so that it can be repeated safely (default: random).',
        flag_values=values,
    )
    flags.DEFINE_float(
        'target_share',
        None,
        'The share of the traffic to move in total (default: all of it).',
        lower_bound=0.0,
        upper_bound=1.0,
        flag_values=values,
    )
    flags.DEFINE(
        NodeAddressParser(),
        'vm',
        DEFAULT_VM,
        'The metrics address of the entry VM to ask.',
        flag_values=values,
    )
    flags.DEFINE_string(
        'tenant', '', 'The name of the tenant that sends it.', flag_values=values
    )
    flags.DEFINE_string(
        'failure_domain',
        '',
        'The failure domain of the caller (default: that of the VM).',
        flag_values=values,
    )
    flags.DEFINE_string(
        'object', '', 'The object that the request concerns.', flag_values=values
    )
    flags.DEFINE_bool(
        'json',
        False,
        'Print JSON even if the output is a terminal.',
        flag_values=values,
    )
    flags.DEFINE_bool('help', False, 'Show this help.', flag_values=values)
    return values
