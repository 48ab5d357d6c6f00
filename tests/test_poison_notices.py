"""Tests that notices of poison requests reach the fleet by gossip and then stop."""

import random

from daisylift.decisions.poison_notices import (
    TRANSMISSIONS_PER_NOTICE,
    BreakNotice,
    PoisonNoticeQueue,
)

TARGET_NODES = 930
FANOUT = 3
ROUND_SECONDS = 0.25
KNOWN_WITHIN_SECONDS = 3.0  # after this, a crash of a third server counts as a fault
NOTICE = BreakNotice(b'd' * 16, 7)


def test_a_notice_is_sent_a_bounded_number_of_times() -> None:
    queue = PoisonNoticeQueue()
    queue.push(NOTICE)
    sent = [queue.take(4) for _ in range(2 * TRANSMISSIONS_PER_NOTICE)]
    assert (
        sent == [[NOTICE]] * TRANSMISSIONS_PER_NOTICE + [[]] * TRANSMISSIONS_PER_NOTICE
    )


def test_the_newest_notices_go_first_and_memory_is_bounded() -> None:
    queue = PoisonNoticeQueue()
    for number in range(10_000):
        queue.push(BreakNotice(b'd' * 16, number))
    assert [each.break_id for each in queue.take(2)] == [9999, 9998]
    rounds = 0
    while queue.take(4):
        rounds += 1
    assert rounds < 1000


def test_all_nodes_know_within_the_window() -> None:
    rng = random.Random(5)
    nodes = [PoisonNoticeQueue() for _ in range(TARGET_NODES)]
    knows = {0}
    nodes[0].push(NOTICE)
    rounds = 0
    while len(knows) < TARGET_NODES:
        rounds += 1
        assert rounds * ROUND_SECONDS <= KNOWN_WITHIN_SECONDS
        for number in list(knows):
            for notice in nodes[number].take(4):
                for peer in rng.sample(range(TARGET_NODES), FANOUT):
                    if peer not in knows:
                        knows.add(peer)
                        nodes[peer].push(notice)
