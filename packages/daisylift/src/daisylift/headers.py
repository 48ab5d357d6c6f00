"""Names of the HTTP headers and gRPC metadata that daisylift reads and writes."""

from collections.abc import Iterable, Iterator, Mapping

OUTCOME = 'Daisylift-Outcome'
TIMEOUT_MS = 'Daisylift-Timeout-Ms'
REQUEST_ID = 'Daisylift-Request-Id'
IDEMPOTENCY_KEY = 'Idempotency-Key'
LOAD = 'Daisylift-Load'
DRAINING = 'Daisylift-Draining'
KEY_METADATA = 'daisylift-key'
SERVER = 'Daisylift-Server'
REPLAYED = 'Daisylift-Replayed'
FORWARDED_BY = 'Daisylift-Forwarded-By'
FORWARDED_FOR = 'X-Forwarded-For'

HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


def end_to_end(
    items: Iterable[tuple[str, str]], connection: Iterable[str]
) -> Iterator[tuple[str, str]]:
    """Yield the end-to-end headers, that is, all but the hop-by-hop headers.

    ``connection`` has the values of the ``Connection`` header, which may name further
    hop-by-hop headers.
    """
    dropped = HOP_BY_HOP | {
        token.strip().lower() for value in connection for token in value.split(',')
    }
    for name, value in items:
        if name.lower() not in dropped:
            yield name, value


def wants_upgrade(fields: Mapping[str, str]) -> bool:
    """Return whether the request asks to upgrade its connection's protocol."""
    tokens = fields.get('Connection', '').lower().split(',')
    return 'Upgrade' in fields and 'upgrade' in (token.strip() for token in tokens)
