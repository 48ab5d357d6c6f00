"""The monotonic clock for leases, deadlines and fences."""

import time


def now() -> float:
    """Return monotonic seconds that also advance while the VM is suspended.

    The event loop's time is not used, because it only advances once per iteration
    of the loop and so would not show that the process was frozen in between.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
