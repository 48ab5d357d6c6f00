"""Tests of the store client against the fake platform, with each kind of failure."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest

from daisylift_node.platform import StoreClient
from daisylift_node.platform import store as store_module
from daisylift_node.version.documents import (
    ConflictError,
    HistoryGoneError,
    StoreError,
)
from tests.fakes.platform import PAGE_ITEMS, FakePlatform, RawJson
from tests.utils import LogCapture


@pytest.fixture
async def fake() -> AsyncIterator[FakePlatform]:
    fake = FakePlatform()
    await fake.start()
    yield fake
    await fake.stop()


@pytest.fixture
async def client(fake: FakePlatform) -> AsyncIterator[StoreClient]:
    client = StoreClient(f'http://127.0.0.1:{fake.port}')
    await client.start()
    yield client
    await client.stop()


async def test_a_list_follows_pages(fake: FakePlatform, client: StoreClient) -> None:
    for number in range(2 * PAGE_ITEMS + 1):
        fake.write('servers', f'i-{number:04}', {'n': number})
    fake.write('config', 'main', {})
    listing = await client.list('servers')
    assert len(listing.documents) == 2 * PAGE_ITEMS + 1
    assert listing.revision == fake.revision
    assert listing.documents[3].body == {'n': 3}


async def test_a_watch_returns_changes_and_deletions(
    fake: FakePlatform, client: StoreClient
) -> None:
    fake.write('servers', 'i-1', {})
    at = fake.revision
    watch = asyncio.create_task(client.watch('servers', at, 5.0))
    await asyncio.sleep(0.05)
    fake.remove('servers', 'i-1')
    changes = await watch
    assert [change.deleted for change in changes.changes] == [True]
    assert changes.revision == fake.revision


async def test_a_watch_without_changes_ends(
    fake: FakePlatform, client: StoreClient
) -> None:
    changes = await client.watch('servers', fake.revision, 0.05)
    assert changes.changes == ()


async def test_a_watch_without_history_raises(
    fake: FakePlatform, client: StoreClient
) -> None:
    at = fake.revision
    fake.write('servers', 'i-1', {})
    fake.discard_history()
    with pytest.raises(HistoryGoneError):
        await client.watch('servers', at, 1.0)


async def test_put_creates_and_replaces(
    fake: FakePlatform, client: StoreClient
) -> None:
    await client.put('members', 'a', {'incarnation': 1})
    await client.put('members', 'a', {'incarnation': 2})
    assert fake.objects['members', 'a']['specification'] == {'incarnation': 2}


async def test_a_lost_response_is_an_error_and_the_call_can_be_repeated(
    fake: FakePlatform, client: StoreClient
) -> None:
    fake.faults.lose_answers = 1
    with pytest.raises(StoreError):
        await client.put('members', 'a', {'incarnation': 1})
    await client.put('members', 'a', {'incarnation': 1})
    assert fake.objects['members', 'a']['specification'] == {'incarnation': 1}


async def test_delete_requires_its_revision(
    fake: FakePlatform, client: StoreClient
) -> None:
    fake.write('members', 'a', {})
    revision = fake.revision
    fake.write('members', 'a', {'incarnation': 2})
    with pytest.raises(ConflictError):
        await client.delete('members', 'a', revision)
    assert ('members', 'a') in fake.objects


@pytest.mark.parametrize('status', [429, 500, 503])
async def test_a_refusal_is_an_error(
    fake: FakePlatform, client: StoreClient, status: int
) -> None:
    fake.faults.status = status
    with pytest.raises(StoreError, match=str(status)):
        await client.list('servers')


async def test_silence_is_an_error(
    fake: FakePlatform, client: StoreClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(store_module, 'CALL_TIMEOUT_SECONDS', 0.05)
    client._watch_margin.seconds = 0.05
    fake.faults.silent = True
    with pytest.raises(StoreError):
        await client.watch('servers', 1, 0.05)


async def test_a_reset_is_an_error(fake: FakePlatform, client: StoreClient) -> None:
    fake.faults.reset = True
    with pytest.raises(StoreError):
        await client.list('servers')


@pytest.mark.parametrize('answer', [b'', b'[]', b'{', b'{"items": 1}'])
def test_an_invalid_response_is_an_error(answer: bytes) -> None:
    with pytest.raises(StoreError):
        page = store_module._read_response('GET /servers', 200, answer)
        store_module._field(page, 'items', list)


ODD_OBJECTS: list[Any] = [
    7,
    None,
    [],
    {},
    {'metadata': 7},
    {'metadata': {}},
    {'metadata': {'name': 7, 'revision': 3}},
    RawJson(b'{"metadata": {"name": "i-2", "revision": 3'),
]


# One such item failed the whole list, so that a VM never got ready or followed nothing.
@pytest.mark.parametrize('odd', ODD_OBJECTS[:-1])
async def test_an_item_that_cannot_be_read_costs_only_itself(
    fake: FakePlatform, client: StoreClient, odd: Any, logs: LogCapture
) -> None:
    at = fake.revision
    fake.write('servers', 'i-1', {'n': 1})
    fake.write_object('servers', 'i-2', odd)
    fake.write('servers', 'i-3', {'n': 3})
    listing = await client.list('servers')
    assert [each.name for each in listing.documents] == ['i-1', 'i-3']
    changes = await client.watch('servers', at, 1.0)
    assert [each.document.name for each in changes.changes] == ['i-1', 'i-3']
    assert changes.revision == fake.revision
    lines = logs.with_message('entries of the store left out')
    assert [(line['kind'], line['count']) for line in lines] == [('servers', 1)] * 2


async def test_a_response_cut_within_an_item_is_an_error(
    fake: FakePlatform, client: StoreClient
) -> None:
    fake.write_object('servers', 'i-2', ODD_OBJECTS[-1])
    with pytest.raises(StoreError):
        await client.list('servers')


@pytest.mark.parametrize('revision', [None, '3', 3.5, True, RawJson(b'9' * 5000)])
async def test_an_object_with_an_unreadable_revision_keeps_its_name(
    fake: FakePlatform, client: StoreClient, revision: Any
) -> None:
    metadata = {'name': 'i-2', 'revision': revision}
    odd = {'metadata': metadata, 'specification': {'n': 2}}
    fake.write_object('servers', 'i-2', odd)
    (document,) = (await client.list('servers')).documents
    assert (document.name, document.body) == ('i-2', None)


async def test_a_body_nested_too_deeply_is_unreadable(
    fake: FakePlatform, client: StoreClient
) -> None:
    for name, depth in (('i-1', 60), ('i-2', 900), ('i-3', 100_000)):
        fake.write('servers', name, RawJson(b'[' * depth + b']' * depth))
    listing = await client.list('servers')
    is_readable = [each.body is not None for each in listing.documents]
    assert is_readable == [True, False, False]


async def test_pages_go_on_after_a_name_that_is_not_utf_8(
    fake: FakePlatform, client: StoreClient, logs: LogCapture
) -> None:
    for number in range(PAGE_ITEMS + 2):
        fake.write('servers', f'i-{number:04}', {})
    last = f'i-{PAGE_ITEMS - 1:04}'
    metadata = {'name': RawJson(b'"i-\xff"'), 'revision': 3}
    fake.write_object('servers', last, {'metadata': metadata})
    listing = await client.list('servers')
    names = {each.name for each in listing.documents}
    assert f'i-{PAGE_ITEMS + 1:04}' in names
    assert not logs.with_message('the rest of the list left out')


async def test_a_list_ends_if_no_name_of_a_page_can_be_read(
    fake: FakePlatform, client: StoreClient, logs: LogCapture
) -> None:
    for number in range(PAGE_ITEMS + 2):
        fake.write_object('servers', f'i-{number:04}', None)
    listing = await client.list('servers')
    assert listing.documents == ()
    assert logs.first('the rest of the list left out')['kind'] == 'servers'


async def test_a_name_is_one_segment_of_the_path(
    fake: FakePlatform, client: StoreClient
) -> None:
    fake.write('servers', 'i-1', {'n': 1})
    await client.put('members', '../servers/i-1?x#y', {'n': 2})
    assert fake.objects['servers', 'i-1']['specification'] == {'n': 1}
    stored = await client.get('members', '../servers/i-1?x#y')
    assert stored.body == {'n': 2}


@pytest.mark.parametrize('text', ['', 'x', '-3', '1.5', '9' * 5000])
def test_an_era_that_is_not_a_number_is_unknown(text: str) -> None:
    assert store_module._era(text) == 0


async def test_the_era_of_any_response_is_known(
    fake: FakePlatform, client: StoreClient
) -> None:
    returns = []
    client.on_return(lambda: returns.append(client.era))
    await client.list('servers')
    assert (client.era, returns) == (1, [])
    fake.restore(fake.revision)
    fake.faults.status = 503
    with pytest.raises(StoreError):
        await client.list('servers')
    assert (client.era, returns) == (2, [2])
