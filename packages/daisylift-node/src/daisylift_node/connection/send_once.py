"""Keeps the HTTP client from sending one request a second time on its own."""

from aiohttp import ClientError, ClientRequest, ClientResponse
from aiohttp.client_middlewares import ClientHandlerType


class SecondSendError(ClientError):
    """The first send ended in doubt, and the library was about to repeat it."""


class SendOnce:
    """A client middleware for one request; make a new one for each.

    aiohttp repeats requests whose method HTTP calls idempotent, PUT and DELETE among
    them, when a kept connection breaks. Whether a repeat is safe is for daisylift to
    decide, so the repeat is refused here.
    """

    def __init__(self) -> None:
        self._sent = False

    async def __call__(
        self, request: ClientRequest, handler: ClientHandlerType
    ) -> ClientResponse:
        """Pass the first send on; raise SecondSendError at the next."""
        if self._sent:
            raise SecondSendError('the connection broke while the answer was awaited')
        self._sent = True
        return await handler(request)
