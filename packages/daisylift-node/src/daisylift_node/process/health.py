"""The health figures of all backend servers, as this node sees them."""

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


class HealthBook:
    """Keeps a ServerHealth for each backend server of the configuration."""

    def __init__(self, on_drain: DrainListener, clock: Clock) -> None:
        self._on_drain = on_drain
        self._clock = clock
        self.by_server: dict[ServerKey, ServerHealth] = {}
        self._address_by_server: dict[ServerKey, Address] = {}
        self._size_by_service: dict[str, int] = {}
        self._ejected_by_service: dict[str, dict[ServerKey, float]] = {}
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Tell the listener of servers that went out of use or came back."""
        self._listeners.append(listener)

    def set_configuration(self, configuration: Configuration, now: float) -> None:
        """Take on the servers; one that moved to another address starts cold.

        Servers that are new come into use slot by slot, as their permits do.
        """
        known, self.by_server = self.by_server, {}
        addresses, self._address_by_server = self._address_by_server, {}
        self._size_by_service = {}
        for service in configuration.policy.services:
            self._size_by_service[service.name] = len(service.servers)
            for server in service.servers:
                key = ServerKey(service=service.name, server=server.name)
                address = (server.host, server.port)
                health = known.get(key)
                if health is None or addresses[key] != address:
                    health = ServerHealth(
                        service.cold_start_seconds, last_report_at=now
                    )
                    health.ramp_start_at = now if key in known else None
                health.cold_start_seconds = service.cold_start_seconds
                self.by_server[key] = health
                self._address_by_server[key] = address

    def answered(
        self,
        key: ServerKey,
        status: int,
        fields: Mapping[str, str],
        latency_seconds: float,
        now: float,
    ) -> None:
        """Take in the head of an answer."""
        health = self.by_server.get(key)
        if health is None:
            return
        if status >= SERVER_ERROR_STATUS:
            self.failed(key, now)
        else:
            health.record_success(latency_seconds, now)
        report = parse_load(fields.get(headers.LOAD, ''), now)
        if report is not None:
            health.record_report(report)
        if fields.get(headers.DRAINING, '').lower() == TRUE:
            self.drain_seen(key, True)

    def failed(self, key: ServerKey, now: float) -> None:
        """Count a failed try; a server that keeps failing goes out for a while."""
        health = self.by_server.get(key)
        if health is None:
            return
        ejected = self._ejected_now(key.service, now)
        most = int(self._size_by_service[key.service] * MAX_EJECTED_SHARE)
        if health.record_failure(now, may_eject=key in ejected or len(ejected) < most):
            ejected[key] = health.ejected_until
            self._tell(key)

    def reported(self, key: ServerKey, report: LoadReport) -> None:
        """Take in the answer of a load poll."""
        health = self.by_server.get(key)
        if health is not None:
            health.record_report(report)

    def drain_seen(self, key: ServerKey, draining: bool) -> None:
        """Note what the server itself says of draining, and pass on what is news."""
        if self._note_drain(key, draining):
            self._on_drain(key, draining)

    def vm_list_read(self, states: Mapping[str, str]) -> None:
        """Take servers whose VM the platform lists as leaving for draining.

        A server stands on the VM of its own name, if the platform lists one.
        """
        leaving = {vm for vm, state in states.items() if state == LEAVING}
        for key in self.by_server if leaving else ():
            if key.server in leaving:
                self.drain_seen(key, True)

    def drain_heard(self, key: ServerKey, draining: bool) -> None:
        """Note what others say of a server's draining."""
        self._note_drain(key, draining)

    def _note_drain(self, key: ServerKey, draining: bool) -> bool:
        health = self.by_server.get(key)
        if health is None:
            return False
        is_news = draining != (health.drain_seen_at is not None)
        if draining:
            health.record_drain(self._clock())
        else:
            health.record_drain_end(self._clock())
        if is_news:
            self._tell(key)
        return is_news

    def _ejected_now(self, service: str, now: float) -> dict[ServerKey, float]:
        ejected = self._ejected_by_service.setdefault(service, {})
        for key in [key for key, until in ejected.items() if until <= now]:
            del ejected[key]
        return ejected

    def _tell(self, key: ServerKey) -> None:
        for listener in self._listeners:
            listener(key)
