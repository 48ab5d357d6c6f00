"""Names of the HTTP headers that daisylift reads and writes."""

OUTCOME = 'Daisylift-Outcome'
TIMEOUT_MS = 'Daisylift-Timeout-Ms'
REQUEST_ID = 'Daisylift-Request-Id'
IDEMPOTENCY_KEY = 'Idempotency-Key'
LOAD = 'Daisylift-Load'
DRAINING = 'Daisylift-Draining'
SERVER = 'Daisylift-Server'

HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
