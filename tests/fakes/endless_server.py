"""Backend server whose responses do not end, as a process of its own.

Run it with ``python -m tests.fakes.endless_server KIND``; it prints its port.
"""

import argparse
import asyncio
from collections.abc import AsyncIterator

from tests.fakes.loopback import SERVER_HOST

PART_BYTES = 64 * 1024
OK = b'HTTP/1.1 200 OK\r\n'
OPENING_BY_KIND = {
    'body': OK + b'Content-Length: 999999999999\r\n\r\n',
    'body-without-length': OK + b'\r\n',
    'chunks': OK + b'Transfer-Encoding: chunked\r\n\r\n',
    'short-chunks': OK + b'Transfer-Encoding: chunked\r\n\r\n',
    'chunk-extension': OK + b'Transfer-Encoding: chunked\r\n\r\n1;',
    'trailer': OK + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
    'head': OK,
    'header': OK + b'X-Endless: ',
    'status-line': b'HTTP/1.1 200 ',
    'interim': b'',
    'no-response': b'',
}
PART_BY_KIND = {
    'chunks': b'%x\r\n%b\r\n' % (PART_BYTES, b'x' * PART_BYTES),
    'short-chunks': b'1\r\nx\r\n' * (PART_BYTES // 6),
    'trailer': b'X-Endless: yes\r\n' * (PART_BYTES // 16),
    'head': b'X-Endless: yes\r\n' * (PART_BYTES // 16),
    'interim': b'HTTP/1.1 103 Early Hints\r\n\r\n' * (PART_BYTES // 28),
}


async def parts(kind: str) -> AsyncIterator[bytes]:
    """Return the bytes of a response, without end."""
    yield OPENING_BY_KIND[kind]
    part = PART_BY_KIND.get(kind, b'x' * PART_BYTES)
    while True:
        yield part


async def serve(kind: str) -> None:
    """Answer each request with bytes without end."""

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            async for part in parts(kind):
                writer.write(part)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    server = await asyncio.start_server(answer, SERVER_HOST, 0, backlog=1024)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


def main() -> None:
    """Serve until killed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('kind', choices=sorted(OPENING_BY_KIND))
    asyncio.run(serve(parser.parse_args().kind))


if __name__ == '__main__':
    main()
