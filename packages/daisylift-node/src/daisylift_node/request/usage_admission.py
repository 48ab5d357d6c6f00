"""Interface between the request path and the usage caps of tenants."""

from typing import Protocol

from daisylift_node.request.steered_call import SteeredCall


class UsageAdmission(Protocol):
    """Admits requests within the usage caps of their tenants."""

    async def admit(self, call: SteeredCall) -> float | None:
        """Return None if the call may run, else the seconds until it may retry."""

    def give_back(self, call: SteeredCall) -> None:
        """Return what a call that has not run has used of the cap."""

    def log_fields(self, call: SteeredCall) -> dict[str, object]:
        """Return what is known of the cap at this moment."""
