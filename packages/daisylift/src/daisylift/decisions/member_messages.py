"""Conversion between member records and the messages of ``peer.proto``."""

import ipaddress

from daisylift.decisions.membership import (
    Health,
    MemberDetails,
    MemberRecord,
    MemberTable,
)
from daisylift.models.policy import MAX_NAME_LENGTH, MAX_PORT
from daisylift.schema import peer_pb2 as pb


def encode_record(record: MemberRecord, *, with_details: bool) -> pb.MemberUpdate:
    """Convert the record to a message."""
    return pb.MemberUpdate(
        vm=record.vm,
        incarnation=int(record.incarnation, 16),
        number=record.number,
        health=int(record.health),
        leaving=record.leaving,
        stopped=record.stopped,
        details=_encode_details(record.details) if with_details else None,
    )


def decode_record(update: pb.MemberUpdate, table: MemberTable) -> MemberRecord | None:
    """Convert the message to a record; return None when it is not usable.

    Details that the message omits are taken from the table.
    """
    if not 0 < len(update.vm) <= MAX_NAME_LENGTH:
        return None
    incarnation = f'{update.incarnation:016x}'
    try:
        health = Health(update.health)
        details = _decode_details(update, incarnation, table)
    except ValueError:
        return None
    if details is None:
        return None
    return MemberRecord(
        vm=update.vm,
        incarnation=incarnation,
        number=update.number,
        details=details,
        health=health,
        leaving=update.leaving,
        stopped=update.stopped,
    )


def _encode_details(details: MemberDetails) -> pb.MemberDetails:
    return pb.MemberDetails(
        number=details.number,
        failure_domain=details.failure_domain,
        caller_host=details.caller_address[0],
        caller_port=details.caller_address[1],
        peer_host=details.peer_address[0],
        peer_port=details.peer_address[1],
        ordinal=details.ordinal,
    )


def _decode_details(
    update: pb.MemberUpdate, incarnation: str, table: MemberTable
) -> MemberDetails | None:
    if not update.HasField('details'):
        current = table.by_vm.get(update.vm)
        if current is None or current.incarnation != incarnation:
            return None
        return current.details
    details = update.details
    return MemberDetails(
        number=details.number,
        failure_domain=details.failure_domain[:MAX_NAME_LENGTH],
        caller_address=(_host(details.caller_host), _port(details.caller_port)),
        peer_address=(_host(details.peer_host), _port(details.peer_port)),
        ordinal=details.ordinal if details.HasField('ordinal') else None,
    )


def _host(host: str) -> str:
    return str(ipaddress.ip_address(host))


def _port(port: int) -> int:
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'{port} is not a port')
    return port
