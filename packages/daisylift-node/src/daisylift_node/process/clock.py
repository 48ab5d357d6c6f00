"""The clock by which this node counts leases, deadlines and fences."""

import time


def now() -> float:
    """Return seconds that never go back and also count while the VM is suspended.

    The event loop's own time is not used for this: it stands still between two turns
    of the loop, and so would miss that the process was frozen.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
