"""Loopback TCP proxy that injects faults into the connections it forwards."""

import asyncio
from dataclasses import dataclass, field

CHUNK_BYTES = 64 * 1024


@dataclass(slots=True, eq=False)
class FaultyLink:
    """Forwards connections from its own port to one address.

    ``silent_up`` and ``silent_down`` hold back the bytes of one direction until they
    are unset. ``refusing`` resets each new connection. ``delay_seconds`` delays each
    chunk.
    """

    target_port: int
    target_host: str = '127.0.0.1'
    port: int = 0
    delay_seconds: float = 0.0
    silent_up: bool = False
    silent_down: bool = False
    refusing: bool = False
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _faults_cleared: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening, and abort all connections."""
        if self._server is not None:
            self._server.close()
        self.clear_faults()
        self.reset()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in self._writers:
            writer.transport.abort()

    def clear_faults(self) -> None:
        """Remove all faults; bytes that were held back are forwarded."""
        self.delay_seconds = 0.0
        self.silent_up = self.silent_down = self.refusing = False
        self._faults_cleared.set()
        self._faults_cleared = asyncio.Event()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        try:
            if self.refusing:
                return
            target_reader, target_writer = await asyncio.open_connection(
                self.target_host, self.target_port
            )
            self._writers.add(target_writer)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._forward(reader, target_writer, up=True))
                    group.create_task(self._forward(target_reader, writer, up=False))
            finally:
                self._writers.discard(target_writer)
                target_writer.transport.abort()
        except (OSError, ExceptionGroup):
            return  # when one side ends, the proxy closes both
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, up: bool
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self.delay_seconds:
                await asyncio.sleep(self.delay_seconds)
            while self.silent_up if up else self.silent_down:
                await self._faults_cleared.wait()
            writer.write(chunk)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
