"""Connections to backend servers."""

import aiohttp

READ_CHUNK_BYTES = 64 * 1024


class UpstreamConnections:
    """Owns the connection pools towards all backend servers."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the pools."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
        )

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the open session."""
        if self._session is None:
            raise RuntimeError('the upstream connections are not started')
        return self._session
