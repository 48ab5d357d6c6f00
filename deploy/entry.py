"""Starts an entry VM from a checkout.

The third-party libraries are in ``target/deps``, where the build step installs them.
"""

import _signal  # built in; the module ``signal`` takes longer to import

# SIGHUP requests a reload of the settings. It would end the process until the program
# installs its handler. Before the settings have been read, it can be ignored.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import sys  # noqa: E402
from pathlib import Path  # noqa: E402

CHECKOUT = Path(__file__).resolve().parents[1]
for package in ('daisylift', 'daisylift-node'):
    sys.path.insert(0, str(CHECKOUT / 'packages' / package / 'src'))
# Started with -S, Python adds no site-packages; the platform may leave this path out.
sys.path.append(str(CHECKOUT / 'target' / 'deps'))

from daisylift_node.entry_core import run  # noqa: E402

run()
