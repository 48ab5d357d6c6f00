"""The health of all backend servers, as this node observes it."""

from collections.abc import Callable, Mapping

from daisylift import headers
from daisylift.decisions.configuration import Configuration, ServerKey
from daisylift.decisions.health import LoadReport, ServerHealth, parse_load

MAX_EJECTED_SHARE = 0.5
SERVER_ERROR_STATUS = 500
TRUE = 'true'
LEAVING = 'leaving'

Clock = Callable[[], float]
DrainListener = Callable[[ServerKey, bool], None]
Listener = Callable[[ServerKey], None]
Address = tuple[str, int]


class HealthRegistry:
    """Maintains a ServerHealth for each backend server of the configuration."""

    def __init__(self, on_drain: DrainListener, clock: Clock) -> None:
        self._on_drain = on_drain
        self._clock = clock
        self.by_server: dict[ServerKey, ServerHealth] = {}
        self._address_by_server: dict[ServerKey, Address] = {}
        self._size_by_service: dict[str, int] = {}
        self._ejected_by_service: dict[str, dict[ServerKey, float]] = {}
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Call the listener with each server that goes out of use or comes back."""
        self._listeners.append(listener)

    def set_configuration(self, configuration: Configuration, now: float) -> None:
        """Apply a configuration; a server that moved to another address starts cold.

        New servers need no ramp here: their permits come into use slot by slot.
        """
        existing, self.by_server = self.by_server, {}
        addresses, self._address_by_server = self._address_by_server, {}
        self._size_by_service = {}
        for service in configuration.policy.services:
            self._size_by_service[service.name] = len(service.servers)
            for server in service.servers:
                key = ServerKey(service=service.name, server=server.name)
                address = (server.host, server.port)
                health = existing.get(key)
                if health is None or addresses[key] != address:
                    health = ServerHealth(
                        service.cold_start_seconds, last_report_at=now
                    )
                    health.ramp_start_at = now if key in existing else None
                health.cold_start_seconds = service.cold_start_seconds
                self.by_server[key] = health
                self._address_by_server[key] = address

    def record_response(
        self,
        key: ServerKey,
        status: int,
        fields: Mapping[str, str],
        latency_seconds: float,
        now: float,
    ) -> None:
        """Record the status and the header fields of a response."""
        health = self.by_server.get(key)
        if health is None:
            return
        if status >= SERVER_ERROR_STATUS:
            self.record_failure(key, now)
        else:
            health.record_success(latency_seconds, now)
        report = parse_load(fields.get(headers.LOAD, ''), now)
        if report is not None:
            health.record_report(report)
        if fields.get(headers.DRAINING, '').lower() == TRUE:
            self.record_drain(key, True)

    def record_failure(self, key: ServerKey, now: float) -> None:
        """Record a failed attempt; repeated failures eject the server for a while.

        At most MAX_EJECTED_SHARE of the servers of a service are ejected at once.
        """
        health = self.by_server.get(key)
        if health is None:
            return
        ejected = self._currently_ejected(key.service, now)
        max_ejected = int(self._size_by_service[key.service] * MAX_EJECTED_SHARE)
        if health.record_failure(
            now, may_eject=key in ejected or len(ejected) < max_ejected
        ):
            ejected[key] = health.ejected_until
            self._notify(key)

    def record_report(self, key: ServerKey, report: LoadReport) -> None:
        """Record the load report from a poll."""
        health = self.by_server.get(key)
        if health is not None:
            health.record_report(report)

    def record_drain(self, key: ServerKey, draining: bool) -> None:
        """Record the drain state that the server reports, and announce a change."""
        if self._set_drain(key, draining):
            self._on_drain(key, draining)

    def apply_vm_list(self, states: Mapping[str, str]) -> None:
        """Treat servers whose VM the platform lists as leaving as draining.

        A server runs on the VM that has the server's name, if one is listed.
        """
        leaving = {vm for vm, state in states.items() if state == LEAVING}
        for key in self.by_server if leaving else ():
            if key.server in leaving:
                self.record_drain(key, True)

    def apply_drain_notice(self, key: ServerKey, draining: bool) -> None:
        """Record the drain state that a peer announced; don't announce it again."""
        self._set_drain(key, draining)

    def _set_drain(self, key: ServerKey, draining: bool) -> bool:
        health = self.by_server.get(key)
        if health is None:
            return False
        is_change = draining != (health.drain_seen_at is not None)
        if draining:
            health.record_drain(self._clock())
        else:
            health.record_drain_end(self._clock())
        if is_change:
            self._notify(key)
        return is_change

    def _currently_ejected(self, service: str, now: float) -> dict[ServerKey, float]:
        ejected = self._ejected_by_service.setdefault(service, {})
        for key in [key for key, until in ejected.items() if until <= now]:
            del ejected[key]
        return ejected

    def _notify(self, key: ServerKey) -> None:
        for listener in self._listeners:
            listener(key)
