"""Tests of the check that no first packet is refused without need."""

import unittest
from collections.abc import Callable, Sequence

from siskinbank.lab.limited_upstream import (
    LimitedUpstream,
    add_monitored_sidecar,
    host_name,
)
from siskinbank.lab.pool import Pool
from siskinbank.lab.traffic import Arrival, SiteShape, Traffic

_LONG = 100.0
_CONNECTIONS = 2
#: Between the samples of capacity at 2.08 and 2.10 s.
_TAKEN_AT = 2.081
_REFUSED_AT = 2.085
_GIVEN_BACK_AT = 2.095


def _make_pool(connections: int = _CONNECTIONS) -> Pool:
    """Return a pool of one host, warm from the start."""
    pool = Pool(1)
    pool.add_entry('entry-0', 0)
    add_monitored_sidecar(
        pool, 0, LimitedUpstream(full_connections=connections)
    )
    shape = SiteShape(1, connections, connections)
    pool.publish(shape.site(1))
    return pool


def _cut_all(pool: Pool, *, cut: bool) -> Callable[[], None]:
    """Return a function that cuts or restores all paths of a pool."""

    def change() -> None:
        pool.network.cut = lambda _sender, _receiver: cut

    return change


def _flows(*times: float) -> list[Arrival]:
    return [Arrival(at, _LONG, number) for number, at in enumerate(times)]


def _run(pool: Pool, arrivals: Sequence[Arrival]) -> tuple[int, int]:
    """Return the numbers of refused and of falsely refused attempts."""
    traffic = Traffic(pool, list(arrivals), observes_capacity=True)
    traffic.run(2.5)
    return traffic.refused, traffic.falsely_refused


class TestFalselyRefused(unittest.TestCase):
    """Attempts refused while a host had free capacity."""

    def test_room_taken_and_given_back_between_samples(self) -> None:
        """A refusal counts although the pool was full when it was made.

        Load pattern: a pool near its limit, in which the last unit is taken
        just before another flow asks for it.
        """
        pool = _make_pool()
        context = pool.sidecars[host_name(0)].context

        def give_back() -> None:
            assert context.limits is not None
            context.limits.connections.give_back()

        pool.network.after(_GIVEN_BACK_AT, give_back)
        arrivals = _flows(0.5, _TAKEN_AT, _REFUSED_AT)
        self.assertEqual(_run(pool, arrivals), (1, 0))

    def test_refused_with_room(self) -> None:
        """A refusal with room in the pool is not counted.

        Flows that other callers open meanwhile leave room.
        """
        for others in ((), (0.5,), (0.5, _REFUSED_AT + 0.02)):
            pool = _make_pool(_CONNECTIONS + 1)
            pool.network.after(_TAKEN_AT, _cut_all(pool, cut=True))
            pool.network.after(_GIVEN_BACK_AT, _cut_all(pool, cut=False))
            with self.subTest(others):
                refused = _run(pool, _flows(*others, _REFUSED_AT))
                self.assertEqual(refused, (1, 1))

    def test_full_pool(self) -> None:
        """A refusal by a full pool counts."""
        arrivals = _flows(0.5, 0.6, _REFUSED_AT)
        self.assertEqual(_run(_make_pool(), arrivals), (1, 0))
