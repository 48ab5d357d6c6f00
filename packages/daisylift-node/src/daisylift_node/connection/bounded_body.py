"""Reads response bodies up to a size limit."""

import aiohttp

PART_BYTES = 64 * 1024


class BodyTooLongError(aiohttp.ClientError):
    """The body is longer than allowed; the connection is not used again."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Return the whole body; raise BodyTooLongError if it exceeds ``max_bytes``."""
    body = bytearray()
    async for part in response.content.iter_chunked(PART_BYTES):
        body += part
        if len(body) > max_bytes:
            response.close()
            raise BodyTooLongError(f'the body is longer than {max_bytes} bytes')
    return bytes(body)
