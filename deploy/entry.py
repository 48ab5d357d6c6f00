"""Starts an entry VM from a checkout, with the libraries in target/deps."""

import sys
from pathlib import Path

CHECKOUT = Path(__file__).resolve().parents[1]
for package in ('daisylift', 'daisylift-node'):
    sys.path.insert(0, str(CHECKOUT / 'packages' / package / 'src'))

from daisylift_node.entry_core import run  # noqa: E402

run()
