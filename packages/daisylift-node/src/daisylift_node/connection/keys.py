"""Checks the shared key of a gRPC call in constant time."""

import hmac

from grpclib import GRPCError, Status

from daisylift.headers import KEY_METADATA


def require_key(metadata: object, key: str) -> None:
    """Raise UNAUTHENTICATED unless the metadata carries the shared key."""
    given = metadata.get(KEY_METADATA, '')
    if not hmac.compare_digest(str(given).encode(), key.encode()):
        raise GRPCError(Status.UNAUTHENTICATED, 'the key is missing or wrong')
