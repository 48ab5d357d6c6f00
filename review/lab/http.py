"""Minimal HTTP/1.1 over asyncio streams, for the stand-ins and the clients."""

import asyncio
from dataclasses import dataclass, field

MAX_LINE_BYTES = 64 * 1024
REASONS = {
    200: 'OK',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    421: 'Misdirected Request',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}


@dataclass(slots=True)
class Message:
    """A request or a response: its first line, its headers and its body."""

    line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.line.split(' ')[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.line.split(' ')[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.line.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message; None if the connection has ended."""
    line = (await reader.readline()).decode('latin-1').strip()
    if not line:
        return None
    message = Message(line)
    while header := (await reader.readline()).decode('latin-1').strip():
        name, _, value = header.partition(':')
        message.headers[name.strip().lower()] = value.strip()
    return message


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of the message, with a length or in chunks."""
    if message.headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while size := int((await reader.readline()).strip(), 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        message.body = b''.join(parts)
        return
    length = int(message.headers.get('content-length', '0'))
    message.body = await reader.readexactly(length) if length else b''


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next complete message; None if the connection has ended."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message)
    return message


def response_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a response with a length."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Unknown")}']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def request_bytes(
    method: str, target: str, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Return a request, with a length if it has a body."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
