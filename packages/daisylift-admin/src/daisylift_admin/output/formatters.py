"""Formatters for replies: text for a terminal, JSON for a pipe."""

import json
from typing import Protocol

from google.protobuf.json_format import MessageToDict
from google.protobuf.message import Message

from daisylift.schema import operator_pb2 as pb


class Formatter(Protocol):
    """Converts a reply to the text to print."""

    def format(self, reply: Message) -> str:
        """Return the text, which ends in a newline."""


class JsonFormatter:
    """Formats any reply as JSON."""

    def format(self, reply: Message) -> str:
        """Return the reply as JSON."""
        document = MessageToDict(
            reply,
            preserving_proto_field_name=True,
            always_print_fields_with_no_presence=True,
        )
        return json.dumps(document, indent=2) + '\n'


class TextFormatter:
    """Formats replies as lines of text for a person."""

    def format(self, reply: Message) -> str:
        """Return the reply as lines of text."""
        match reply:
            case pb.ChangeReply():
                return f'accepted as version {reply.accepted.version}\n'
            case pb.GetStatusReply():
                return _format_status(reply)
            case pb.GetShiftsReply():
                return _format_shifts(reply)
        return JsonFormatter().format(reply)


def _format_status(reply: pb.GetStatusReply) -> str:
    lines = [f'{reply.vm} at version {reply.version}']
    lines.extend(
        f'{member.ordinal:>4}  {member.vm:<16} {member.failure_domain:<16} '
        f'{member.state:<8} {member.caller_address:<21} '
        f'confirmed {member.confirmed_version}'
        for member in reply.members
    )
    return '\n'.join(lines) + '\n'


def _format_shifts(reply: pb.GetShiftsReply) -> str:
    lines = [f'{len(reply.shifts)} shifts at version {reply.version}']
    lines.extend(
        f'{shift.shift:<24} {shift.service:<12} {shift.state:<9} '
        f'stage {shift.stage:>3}, {shift.moved_share:.2%} of {shift.target_share:.2%}'
        f' moved, {",".join(shift.sources)} to {",".join(shift.destinations)}'
        f'{" (held: " + shift.held_because + ")" if shift.held_because else ""}'
        for shift in reply.shifts
    )
    return '\n'.join(lines) + '\n'
