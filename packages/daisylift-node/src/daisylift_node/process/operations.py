"""The operations port: liveness, readiness and metrics."""

from collections.abc import Callable

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest


class OperationsHandler:
    """Serves liveness and readiness probes and metrics scrapes."""

    def __init__(
        self, is_ready: Callable[[], bool], registry: CollectorRegistry
    ) -> None:
        self._is_ready = is_ready
        self._registry = registry

    def application(self) -> web.Application:
        """Return the HTTP application of the port."""
        application = web.Application()
        application.router.add_get('/livez', self._livez)
        application.router.add_get('/readyz', self._readyz)
        application.router.add_get('/metrics', self._metrics)
        return application

    async def _livez(self, _: web.Request) -> web.Response:
        return web.Response(text='alive\n')

    async def _readyz(self, _: web.Request) -> web.Response:
        if self._is_ready():
            return web.Response(text='ready\n')
        return web.Response(status=503, text='not ready\n')

    async def _metrics(self, _: web.Request) -> web.Response:
        return web.Response(body=generate_latest(self._registry))
