"""Tests of first packets that wait for a slot."""

import random
import unittest

from siskinbank.admission.waiting_room import (
    KeptOpening,
    WaitingRoom,
    sent_ago_s,
)
from siskinbank.relay.messages import Opening

OPENING = Opening(b'', b'')
AIM_S = 0.25
# A cold host: the usual work of the users' heaviest service, 1.6 times as long.
WORK_S = 0.038
# New requests for one slot, a second: a little over half of what it can do.
RATE = 15
# Half more than that.
MANY = 39
BACKLOG = 20
# Serves in the order of coming, as everyone is late.
NO_AIM_S = 0
STEP_S = 0.001
LONG_S = 6


def backlog(aim_s: float) -> WaitingRoom:
    """Return a room with copies of first packets that came all at once."""
    room = WaitingRoom()
    for number in range(BACKLOG):
        sent = -sent_ago_s(1 + number % 2)
        room.keep(b'old%d' % number, KeptOpening(OPENING, 0, sent, aim_s))
    return room


def new_requests(rng: random.Random, rate: float) -> list[float]:
    """Return when new requests are asked, in the first two seconds."""
    steps = [step * STEP_S for step in range(int(2 / STEP_S))]
    return [now for now in steps if rng.random() < rate * STEP_S]


def replay(aim_s: float, rate: float = RATE) -> float:
    """Replay a host with one slot after a loss of power of 1.5 s.

    Args:
        aim_s: what the room takes for the latency that clients expect.
        rate: new requests a second.

    Returns:
        The part of the requests asked afterwards that were in time.
    """
    rng = random.Random(7)
    room = backlog(aim_s)
    asked = new_requests(rng, rate)
    coming = list(asked)
    free_at = 0
    in_time = 0
    for step in range(int(LONG_S / STEP_S)):
        now = step * STEP_S
        while coming and coming[0] <= now:
            sent = coming.pop(0)
            room.keep(b'new%d' % step, KeptOpening(OPENING, now, sent, aim_s))
        found = room.next(now, WORK_S, 1) if now >= free_at else None
        if found:
            free_at = now + rng.uniform(0.5, 1.5) * WORK_S
            in_time += found[1].sent >= 0 and free_at - found[1].sent < AIM_S
    return in_time / len(asked)


class TestWaitingRoom(unittest.TestCase):
    """Load pattern: a backlog after a loss of power, and new requests."""

    def test_new_requests_are_in_time_at_once(self) -> None:
        """Replay: in the order of coming, most of two seconds were late."""
        self.assertGreater(replay(AIM_S), 0.95)
        self.assertLess(replay(NO_AIM_S), 0.75)

    def test_too_many_new_requests(self) -> None:
        """Replay: half more than a slot can do; what it does is in time."""
        can_do = 1 / WORK_S / MANY
        self.assertGreater(replay(AIM_S, MANY), 0.85 * can_do)

    def test_the_newest_of_many_goes_first(self) -> None:
        """Of those that can be in time; few keep their order."""
        room = WaitingRoom()
        for key, sent in ((b'a', 99.97), (b'b', 99.98), (b'c', 99.99)):
            room.keep(key, KeptOpening(OPENING, 100, sent, AIM_S))
        order = []
        while found := room.next(100, WORK_S, 1):
            order.append(found[0])
        self.assertEqual(order, [b'c', b'a', b'b'])

    def test_late_flows_get_the_slots_that_are_left(self) -> None:
        """In their order, after those that can be in time."""
        room = WaitingRoom()
        for key, sent in ((b'a', 99.4), (b'b', 99.8), (b'c', 99.99)):
            room.keep(key, KeptOpening(OPENING, 100, sent, AIM_S))
        order = []
        while found := room.next(100, WORK_S, 1):
            order.append(found[0])
        self.assertEqual(order, [b'c', b'a', b'b'])

    def test_one_request_waits_at_the_host(self) -> None:
        """So that it is there when a slot gets free; no second one."""
        room = WaitingRoom()
        for key, sent in ((b'a', 99.4), (b'b', 99.99)):
            room.keep(key, KeptOpening(OPENING, 100, sent, AIM_S))
        self.assertIsNone(room.next(100, WORK_S, -1))
        found = room.next(100, WORK_S, 0)
        self.assertEqual(found and found[0], b'b')
        self.assertIsNone(room.next(100, WORK_S, -1))
        found = room.next(100, WORK_S, 0)
        self.assertEqual(found and found[0], b'a')

    def test_what_is_ahead_of_a_new_flow(self) -> None:
        """All, unless it can be in time."""
        room = WaitingRoom()
        room.keep(b'a', KeptOpening(OPENING, 100, 99.4, AIM_S))
        room.keep(b'b', KeptOpening(OPENING, 100, 100, AIM_S))
        new = KeptOpening(OPENING, 100, 100, AIM_S)
        late = KeptOpening(OPENING, 100, 99.4, AIM_S)
        self.assertEqual(room.ahead_of(new, 100, WORK_S), 1)
        self.assertEqual(room.ahead_of(late, 100, WORK_S), 2)

    def test_flows_that_clients_gave_up(self) -> None:
        """A host would open them for nobody."""
        room = WaitingRoom()
        room.keep(b'a', KeptOpening(OPENING, 100, 99.4, AIM_S))
        room.keep(b'b', KeptOpening(OPENING, 100, 100, AIM_S))
        gone = room.drop_given_up(101)
        self.assertEqual([key for key, _ in gone], [b'a'])
        self.assertEqual(len(room), 1)

    def test_stays_bounded(self) -> None:
        """Beyond some hundreds it says so."""
        room = WaitingRoom()
        while not room.full:
            room.keep(b'%d' % len(room), KeptOpening(OPENING, 0, 0, AIM_S))
        self.assertLessEqual(len(room), 1000)
        self.assertEqual(len(room.clear()), 256)
        self.assertFalse(room.full)
