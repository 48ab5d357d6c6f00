"""Starts an entry VM from a checkout.

The third-party libraries are in ``target/deps``, where the build step installs them.
"""

import signal
import sys
from pathlib import Path

# SIGHUP requests a reload of the settings. It would end the process until the program
# installs its handler. Before the settings have been read, it can be ignored.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

CHECKOUT = Path(__file__).resolve().parents[1]
for package in ('daisylift', 'daisylift-node'):
    sys.path.insert(0, str(CHECKOUT / 'packages' / package / 'src'))

from daisylift_node.entry_core import run  # noqa: E402

run()
