"""Tests of `daisylift where`, which explains a placement without sending anything."""

import asyncio
import io
import json
from typing import Any

import pytest

from daisylift_admin import core
from daisylift_admin.context import Environment
from daisylift_admin.status import ExitStatus
from tests.entry_harness import (
    HOST,
    EntryHarness,
    make_desired_state,
    make_registration,
    make_rule,
)
from tests.fakes.loopback import METRICS_PORT
from tests.fakes.scripted_server import Script, ScriptedServer, http_response


async def run_where(harness: EntryHarness, *words: str) -> tuple[ExitStatus, str, str]:
    """Run the command against the VM; return its status, output and errors."""
    host = harness.application.settings.vm.host
    output, errors = io.StringIO(), io.StringIO()
    environment = Environment(stdout=output, stderr=errors)
    arguments = ['daisylift', f'--vm={host}:{METRICS_PORT}', 'where', *words]
    status = await asyncio.to_thread(core.main, arguments, environment)
    return status, output.getvalue(), errors.getvalue()


async def ask(harness: EntryHarness, *words: str) -> dict[str, Any]:
    status, output, errors = await run_where(harness, *words)
    assert status is ExitStatus.SUCCESS, errors
    return json.loads(output)


async def test_the_report_names_the_server_that_the_request_then_goes_to() -> None:
    async with (
        ScriptedServer([Script(http_response(b'ok', 'r-1'))]) as first,
        ScriptedServer([Script(http_response(b'ok', 'r-1'))]) as second,
        EntryHarness() as harness,
    ):
        await harness.configure(1, make_rule('/x/', 'catalogue'))
        await harness.register(
            i_1=make_registration(first), i_2=make_registration(second)
        )
        report = await ask(harness, '--object=17', HOST, '/x/1')
        (service,) = report['services']
        chosen = [each['id'] for each in service['servers'] if each['chosen']]
        assert report['verdict'] == 'sent'
        assert report['entry_vms'] == ['entry-1']
        assert len(chosen) == 1
        assert first.requests == second.requests == []
        entries = harness.application.view._entries_by_id
        assert [each.stats.in_flight for each in entries.values()] == [0, 0]
        await harness.send(headers={'Affinity-Key': '17'})
        got = ['i-1'] * bool(first.requests) + ['i-2'] * bool(second.requests)
        assert got == chosen


async def test_the_report_says_why_servers_are_not_eligible() -> None:
    async with ScriptedServer([]) as server, EntryHarness() as harness:
        await harness.configure(
            1, make_rule('/x/', 'catalogue', home_regions=['arusha'])
        )
        await harness.register(
            near=make_registration(server),
            far=make_registration(server, zone='dar-a'),
            leaving=make_registration(server, state='draining'),
        )
        report = await ask(harness, HOST, '/x/1')
        excluded = {
            each['id']: each['excluded'] for each in report['services'][0]['servers']
        }
    assert excluded == {
        'near': None,
        'far': 'outside the home regions',
        'leaving': 'leaving',
    }


@pytest.mark.parametrize(
    ('words', 'reason'),
    [
        ((HOST, '/none/1'), 'no route matches host and path'),
        ((HOST, '/x/1'), 'the route needs a key of a tenant'),
        (('--tenant=other', HOST, '/x/1'), 'the desired state has no such tenant'),
    ],
)
async def test_requests_that_would_be_refused_are_reported_with_the_reason(
    words: tuple[str, ...], reason: str
) -> None:
    async with EntryHarness() as harness:
        state = make_desired_state(1, make_rule('/x/', 'catalogue'))
        state['tenants'] = [{'name': 'acme', 'keys': ['k1'], 'requests_per_s': 5}]
        harness.store.write('config', 'main', state)
        await asyncio.sleep(0.2)
        report = await ask(harness, *words)
        assert (report['verdict'], report['reason']) == ('refused', reason)
        known = await ask(harness, '--tenant=acme', HOST, '/x/1')
    assert known['tenant']['cap_per_second'] == 5
    assert known['verdict'] == 'refused: no server may serve it'
    assert 'k1' not in json.dumps([report, known])


async def test_a_vm_that_does_not_answer_and_a_wrong_question_are_typed_errors() -> (
    None
):
    async with EntryHarness() as harness:
        wrong = await run_where(harness, HOST, 'x')
        missing = await run_where(harness, HOST)
        host = harness.application.settings.vm.host
    environment = Environment(stdout=io.StringIO(), stderr=io.StringIO())
    arguments = ['daisylift', f'--vm={host}:{METRICS_PORT}', 'where', HOST, '/x/']
    gone = await asyncio.to_thread(core.main, arguments, environment)
    assert wrong[0] is ExitStatus.INVALID
    assert missing[0] is ExitStatus.USAGE
    assert gone is ExitStatus.UNAVAILABLE
    assert wrong[2].startswith('daisylift: error: ')
