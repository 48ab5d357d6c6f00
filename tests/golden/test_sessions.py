"""Compares a shortened day of each workload with its golden file."""

import pytest
from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode

from daisylift.decisions.configuration import Configuration
from daisylift.decisions.shifts import SiteLoad
from daisylift.models import EvacuateRegion, Policy, PutPolicy, SetSiteDrain
from tests.fakes.local import LocalFleet
from tests.golden.shift_run import ShiftRun
from tests.golden.transcript import Session, Transcript
from tests.matrix.trial import WORKLOADS, scaled_policy

DOWNLOAD_BYTES = 300_000


class TextFile(SingleFileSnapshotExtension):
    """Stores a snapshot as a plain text file."""

    _write_mode = WriteMode.TEXT
    file_extension = 'txt'


@pytest.fixture
def golden(snapshot):
    return snapshot.use_extension(TextFile)


def make_shift_run(workload, transcript, service):
    policy = Policy.model_validate(scaled_policy(workload))
    shift_run = ShiftRun(transcript, Configuration(), service)
    shift_run.change(PutPolicy(policy=policy))
    return shift_run


def domains(policy):
    return [entry['failure_domain'] for entry in policy['roster']]


async def test_day_of_kanga(golden):
    transcript = Transcript()
    workload = WORKLOADS['kanga']
    policy = scaled_policy(workload)
    async with LocalFleet(policy, domains(policy)) as fleet:
        session = Session(fleet, transcript)
        transcript.add_heading('Caterers browse')
        for client in ('10.1.0.7', '10.2.0.9'):
            await session.look_up(0, 'catalogue', client)
        await session.send(0, 'catalogue', '/designs/12')
        await session.send(1, 'catalogue', '/designs/12')
        transcript.add_heading('A caterer pays, and pays again as the line is bad')
        key = {'Idempotency-Key': 'order-1001'}
        for node in (0, 0, 1):
            await session.send(
                node, 'till', '/pay', method='POST', body='90000', key=key
            )
        await session.send(0, 'till', '/pay', method='POST', body='90001', key=key)
        issued = {'Daisylift-Request-Id': await fleet.request_id(1)}
        for node in (1, 2):
            await session.send(
                node, 'till', '/pay', method='POST', body='45000', key=issued
            )
        transcript.add_heading('The press fetches artwork')
        await session.send(2, 'plates', f'/download/{DOWNLOAD_BYTES}')
        transcript.add_heading('A till server is drained')
        await session.drain('till-0', 'till', draining=True)
        await session.send(0, 'till', '/pay', method='POST', body='1')
        await session.drain('till-0', 'till', draining=False)
        transcript.add_heading('The till refuses, and then works')
        key = {'Idempotency-Key': 'order-1002'}
        fleet.set_behaviour(refuse=True)
        await session.send(0, 'till', '/pay', method='POST', body='2', key=key)
        fleet.clear_faults()
        await session.send(1, 'till', '/pay', method='POST', body='2', key=key)
        transcript.add_heading('The store is down')
        fleet.platform.faults.down = True
        key = {'Idempotency-Key': 'order-1003'}
        await session.send(0, 'till', '/pay', method='POST', body='3', key=key)
        await session.send(0, 'catalogue', '/designs/13')
    transcript.add_heading('Dar is lost: its traffic moves under the evacuation cap')
    shift_run = make_shift_run(workload, transcript, 'catalogue')
    slots = shift_run.configuration.index.slots_by_site_by_service['catalogue']

    def loads(second: int, site: str) -> SiteLoad | None:
        if site.startswith('dar'):
            return None
        used = slots[site] if 8 <= second < 12 else 0
        return SiteLoad(used_slots=used, slots=slots[site], age_seconds=1.0)

    shift_run.play(EvacuateRegion(region='dar'), loads)
    assert transcript.text() == golden


async def test_day_of_teduh(golden):
    transcript = Transcript()
    workload = WORKLOADS['teduh']
    policy = scaled_policy(workload)
    async with LocalFleet(policy, domains(policy)) as fleet:
        session = Session(fleet, transcript)
        transcript.add_heading('Counter staff look up prices')
        await session.look_up(0, 'harga', '10.1.0.7')
        await session.look_up(2, 'harga', '10.1.0.7')
        for node in (0, 1, 2):
            await session.send(node, 'harga', '/frames/3/price')
        transcript.add_heading('A homeowner pays a deposit at two counters')
        key = {'Idempotency-Key': 'deposit-77'}
        for node in (0, 2):
            await session.send(
                node, 'tempahan', '/deposits', method='POST', body='500', key=key
            )
        transcript.add_heading('A slot is booked; the server dies in the middle of it')
        issued = {'Daisylift-Request-Id': await fleet.request_id(0)}
        fleet.set_behaviour(break_before_answer=True)
        await session.send(
            0, 'tempahan', '/slots/9', method='POST', body='Puan Aina', key=issued
        )
        fleet.clear_faults()
        for node in (0, 1):
            await session.send(
                node,
                'tempahan',
                '/slots/9',
                method='POST',
                body='Puan Aina',
                key=issued,
            )
        transcript.add_heading('Installers pull drawings')
        await session.send(1, 'pelan', f'/download/{DOWNLOAD_BYTES}')
    transcript.add_heading('Lembah Klang is moved away for maintenance, with headroom')
    shift_run = make_shift_run(workload, transcript, 'harga')
    slots = shift_run.configuration.index.slots_by_site_by_service['harga']
    site = next(name for name in slots if name.startswith('lembah-klang'))

    def loads(second: int, site: str) -> SiteLoad | None:
        age = 60.0 if 30 <= second < 60 else 1.0
        used = slots[site] // 4
        if 66 <= second < 73:
            used = slots[site]
        return SiteLoad(used_slots=used, slots=slots[site], age_seconds=age)

    shift_run.play(SetSiteDrain(sites=(site,), draining=True), loads)
    assert transcript.text() == golden
