"""Command line of the soak test: runs seeds, prints findings, keeps the logs."""

import asyncio
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path

import uvloop
from absl import app, flags

from soak.callers import CallerGroup
from soak.faults import inject
from soak.fleet import DOMAINS, Fleet
from soak.ledger import Ledger
from soak.plan import (
    FINAL_CALM_SECONDS,
    Fault,
    make_limit_plan,
    make_plan,
    make_return_plan,
    make_start_plan,
    make_statement_plan,
    make_watchers_plan,
)
from soak.raw_callers import WHOLE_KINDS, RawCallerGroup

FLAGS = flags.FLAGS
MAX_FINDINGS_SHOWN = 10
TENANT_SEEDS = 3  # seeds that this does not divide have tenants
CHECKED_CALM_SECONDS = 1.0  # checked end of the final calm; faults end before


async def soak(seed: int, seconds: float, vms: int, callers: int) -> Ledger:
    """Run one seed and return its ledger; logs stay in a temporary folder."""
    folder = Path(tempfile.mkdtemp(prefix=f'daisylift-soak-{seed}-'))
    has_tenants = seed % TENANT_SEEDS != 0
    fleet = Fleet(folder, vms, len(DOMAINS), has_tenants, has_caps=True)
    try:
        await fleet.start()
        caller_group = CallerGroup(fleet, random.Random(seed))
        domains = list(DOMAINS)
        for number in range(callers):
            fleet.spawn(caller_group.call(domains[number % len(domains)]))
        raw_callers = RawCallerGroup(fleet, random.Random(f'raw/{seed}'))
        for vm in fleet.vms:
            fleet.spawn(raw_callers.call(vm, WHOLE_KINDS))
        plan = make_plan(seed, seconds) + make_limit_plan(seed, seconds)
        plan += make_return_plan(seed, seconds) + make_statement_plan(seed, seconds)
        plan += make_start_plan(seed, seconds)
        plan += make_watchers_plan(seed, seconds, vms)
        await _inject_faults(fleet, sorted(plan, key=lambda each: each.at), seconds)
        caller_group.is_stopping = raw_callers.is_stopping = True
        fleet.read_logs()
        fleet.record_arrivals()
    finally:
        await fleet.stop()
    _print_report(seed, fleet.ledger, folder)
    return fleet.ledger


async def _inject_faults(fleet: Fleet, plan: list[Fault], seconds: float) -> None:
    start = fleet.now()
    fleet.ledger.calm_since = start + seconds - CHECKED_CALM_SECONDS
    for fault in plan:
        await asyncio.sleep(max(0.0, start + fault.at - fleet.now()))
        fleet.spawn(inject(fleet, fault))
    await asyncio.sleep(max(0.0, start + seconds - fleet.now()))


def _print_report(seed: int, ledger: Ledger, folder: Path) -> None:
    statuses = Counter(str(each.status) for each in ledger.outcomes)
    findings = ledger.findings()
    print(
        f'seed {seed}: {len(ledger.outcomes)} requests {dict(statuses)}, '
        f'{len(ledger.disturbances)} disturbances, {len(findings)} findings, '
        f'logs in {folder}',
        flush=True,
    )
    for finding in findings[:MAX_FINDINGS_SHOWN]:
        print(f'  {finding.guarantee}: {finding.text}', flush=True)


def main(arguments: list[str]) -> int:
    """Run the seeds given by the flags; return 1 if any has findings, else 0."""
    del arguments
    seeds_with_findings = 0
    for seed in range(FLAGS.seed, FLAGS.seed + FLAGS.count):
        ledger = uvloop.run(soak(seed, FLAGS.seconds, FLAGS.vms, FLAGS.callers))
        seeds_with_findings += bool(ledger.findings())
    print(f'{FLAGS.count} seeds, {seeds_with_findings} with a violated guarantee')
    return min(seeds_with_findings, 1)


def run() -> None:
    """Define the flags and run ``main``."""
    flags.DEFINE_integer('seed', 1, 'The first seed.', lower_bound=0)
    flags.DEFINE_integer('count', 1, 'How many seeds to run.', lower_bound=1)
    flags.DEFINE_float(
        'seconds', 20.0, 'Length of a run.', lower_bound=FINAL_CALM_SECONDS
    )
    flags.DEFINE_integer('vms', 4, 'Entry VMs, a process each.', lower_bound=1)
    flags.DEFINE_integer('callers', 16, 'Callers.', lower_bound=1)
    app.run(main, argv=sys.argv)


if __name__ == '__main__':
    run()
