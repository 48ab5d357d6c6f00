"""Tests of the copies of the store that entry VMs fetch from each other.

A copy with an entry that could not be applied ended the fetch without a log line, and
one with a body that could not be encoded was not served at all.
"""

import asyncio
from typing import Any

import pytest

from daisylift_node.process import peer_exchange
from daisylift_node.version.documents import DocumentChanges, DocumentListing
from daisylift_node.version.json_reader import read_json
from tests.entry_harness import EntryHarness, make_rule
from tests.fakes.platform import RawJson, encode_json
from tests.utils import LogCapture, wait_until

DEEP = RawJson(b'[' * 900 + b']' * 900)


def read(copy: Any) -> DocumentListing | DocumentChanges:
    """Return the copy as it is read from the body of a response."""
    return peer_exchange._read_copy(read_json(encode_json(copy)))


def test_a_body_that_cannot_be_read_keeps_its_name() -> None:
    for body in (DEEP, RawJson(b'9' * 5000), RawJson(b'NaN'), RawJson(b'{"a":}')):
        listing = read({'at': 5, 'documents': [['i-1', 4, {}], ['i-2', 5, body]]})
        assert isinstance(listing, DocumentListing)
        assert [(each.name, each.body) for each in listing.documents] == [
            ('i-1', {}),
            ('i-2', None),
        ]
        changes = read({'at': 5, 'changes': [[['i-2', 5, body], False]]})
        assert isinstance(changes, DocumentChanges)
        assert changes.changes[0].document.body is None


@pytest.mark.parametrize(
    'copy',
    [
        7,
        None,
        {},
        {'at': 'x', 'documents': []},
        {'at': RawJson(b'9' * 5000), 'documents': []},
        {'at': 5, 'documents': 7},
        {'at': 5, 'documents': [7]},
        {'at': 5, 'documents': [['i-1', 4]]},
        {'at': 5, 'documents': [[['i-1'], 4, {}]]},
        {'at': 5, 'documents': [['i-1', '4', {}]]},
        {'at': 5, 'changes': [['i-1', 4, {}]]},
        {'at': 5, 'changes': [[['i-1', 4, {}]]]},
    ],
)
def test_an_invalid_copy_is_refused(copy: Any) -> None:
    with pytest.raises(ValueError):
        read(copy)


async def test_an_entry_that_cannot_be_read_reaches_vms_without_the_store() -> None:
    async with EntryHarness(name='entry-1') as first:
        await first.configure(1, make_rule('/x/', 'catalogue'))
        async with EntryHarness(
            name='entry-2', store=first.store, owns_store=False
        ) as second:
            await asyncio.sleep(0.6)
            assert second.application is not None
            await second.application._tasks.stop()
            first.store.write('servers', 'i-odd', DEEP)
            first.store.write('config', 'odd', DEEP)
            await first.configure(2, make_rule('/y/', 'catalogue'))
            view = second.application.view
            await wait_until(lambda: 'i-odd' in view.servers.documents_by_name)
            assert view.servers.documents_by_name['i-odd'].body is None
            await wait_until(lambda: view.routes and view.routes.state.version == 2)


async def test_an_unexpected_error_in_a_fetch_or_a_datagram_is_logged(
    logs: LogCapture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with EntryHarness(name='entry-1') as harness:
        assert harness.application is not None
        peers = harness.application.peers
        with monkeypatch.context() as patch:
            patch.setattr(peers, '_session', object())
            await peers._fetch_or_log(harness.application.view.servers, 'http://a')
            patch.setattr(peer_exchange, 'decode', None)
            peers.datagram_received(b'x', ('127.0.0.1', 9))
    assert logs.first('copy of a peer not applied')['kind'] == 'servers'
    assert logs.first('gossip datagram not applied')['peer'] == '127.0.0.1'


async def test_a_vm_that_stood_still_begins_its_watches_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Else it confirms the copies of its peers by a watch that nobody answers."""
    async with EntryHarness() as entry:
        assert entry.application is not None
        peers = entry.application.peers
        replica = entry.application.view.config
        await asyncio.sleep(0.5)
        assert replica.age_seconds() == 0.0
        entry.store.faults.silent = True
        now = peer_exchange._time_with_suspension()
        monkeypatch.setattr(peer_exchange, '_time_with_suspension', lambda: now + 5.0)
        await peers.send_gossip()
        await asyncio.sleep(0.3)
        assert replica.age_seconds() >= 0.2


async def test_a_vm_that_stood_still_confirms_no_copy_until_the_store_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its open watches may be ones that nobody answers, however new they are."""
    async with EntryHarness() as harness:
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        view = harness.application.view
        replicas = list(view.replicas_by_kind.values())
        await wait_until(lambda: all(each.age_seconds() == 0.0 for each in replicas))
        for replica in replicas:
            replica._refreshed_at = asyncio.get_running_loop().time()
        resumed_at = peer_exchange._time_with_suspension() + 60.0
        monkeypatch.setattr(peer_exchange, '_time_with_suspension', lambda: resumed_at)
        await harness.application.peers.send_gossip()
        assert min(each.age_seconds() for each in replicas) >= 59.0
