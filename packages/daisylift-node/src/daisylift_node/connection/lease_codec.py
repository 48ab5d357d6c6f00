"""Encodes permit lease messages as protobuf messages and decodes them."""

from collections.abc import Mapping, Sequence

from daisylift.decisions.configuration import ServerKey
from daisylift.decisions.leases import LeaseAsk, LeaseGrant, LeaseReturn
from daisylift.decisions.permit import LeaseKey
from daisylift.schema import peer_pb2 as pb
from daisylift_node.errors import PeerMessageError

MAX_SERVERS_PER_MESSAGE = 64


def encode_ask(ask: LeaseAsk) -> pb.LeaseAsk:
    """Return the message for a lease request."""
    renew = None if ask.renew is None else _encode_key(ask.renew)
    return pb.LeaseAsk(
        number=ask.number,
        lender=ask.lender,
        service=ask.service,
        count=ask.count,
        renew=renew,
        held=_encode_masks(ask.held),
    )


def decode_ask(message: pb.LeaseAsk) -> LeaseAsk:
    """Return the lease request in a message."""
    return LeaseAsk(
        number=message.number,
        lender=message.lender,
        service=message.service,
        count=message.count,
        renew=_decode_key(message.renew) if message.HasField('renew') else None,
        held=_decode_masks(message.service, message.held),
    )


def encode_grant(grant: LeaseGrant, service: str, idle: int) -> pb.LeaseGrant:
    """Return the message for a grant; times are rounded down to full milliseconds."""
    return pb.LeaseGrant(
        ask=grant.ask,
        lease=_encode_key(grant.lease),
        service=service,
        slots=_encode_masks(grant.masks),
        term_ms=int(grant.term_seconds * 1000),
        longest_request_ms=int(grant.longest_request_seconds * 1000),
        idle=idle,
    )


def decode_grant(message: pb.LeaseGrant) -> LeaseGrant | None:
    """Return the grant in a message, or None if nothing was granted."""
    if not message.HasField('lease'):
        return None
    return LeaseGrant(
        ask=message.ask,
        lease=_decode_key(message.lease),
        masks=_decode_masks(message.service, message.slots),
        term_seconds=message.term_ms / 1000,
        longest_request_seconds=message.longest_request_ms / 1000,
    )


def encode_return(returned: LeaseReturn) -> pb.LeaseReturn:
    """Return the message for returned slots, which belong to one service."""
    service = next(iter(returned.masks)).service if returned.masks else ''
    return pb.LeaseReturn(
        lease=_encode_key(returned.lease),
        service=service,
        slots=_encode_masks(returned.masks),
    )


def decode_return(message: pb.LeaseReturn) -> LeaseReturn:
    """Return the returned slots in a message."""
    masks = _decode_masks(message.service, message.slots)
    return LeaseReturn(lease=_decode_key(message.lease), masks=masks)


def _encode_key(key: LeaseKey) -> pb.LeaseKey:
    return pb.LeaseKey(
        lender=key.lender, incarnation=int(key.incarnation, 16), number=key.number
    )


def _decode_key(key: pb.LeaseKey) -> LeaseKey:
    return LeaseKey(key.lender, f'{key.incarnation:016x}', key.number)


def _encode_masks(masks: Mapping[ServerKey, int]) -> list[pb.ServerSlots]:
    return [
        pb.ServerSlots(
            server=server.server,
            slots=mask.to_bytes((mask.bit_length() + 7) // 8, 'little'),
        )
        for server, mask in masks.items()
    ]


def _decode_masks(
    service: str, messages: Sequence[pb.ServerSlots]
) -> dict[ServerKey, int]:
    """Return the masks; raise PeerMessageError if there are too many.

    A partial result would be wrong, so the message is rejected.
    """
    if len(messages) > MAX_SERVERS_PER_MESSAGE:
        raise PeerMessageError(f'{len(messages)} servers are too many for a message')
    return {
        ServerKey(service, message.server): int.from_bytes(message.slots, 'little')
        for message in messages
    }
