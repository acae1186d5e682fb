"""Tests of the soak's judge: it sees violations and excuses no more."""

import unittest
from typing import Any

from siskinbank.lab.disturbances import Disturbance, Disturbances, Fault
from siskinbank.lab.fleet import Fleet, FleetPlan
from siskinbank.lab.instances import EntryPorts, HostPorts
from siskinbank.lab.promises import Evidence, Promise, judge

HOST = 'matcher-1'
PORT = 443
FLOW = {
    'ingress': 'fou',
    'opened_at': 100.0,
    'ended_at': 110.0,
    'host': HOST,
    'entry': '',
    'result': 'silent',
}
REQUEST = {
    'key': 'k',
    'idempotent': False,
    'outcome': 'whole',
    'started_at': 100.0,
    'ended_at': 101.0,
    'entry': 'http://127.0.0.2:1',
    'doubted': False,
    'lost_at': '',
}
SEEN = {
    'name': HOST,
    'targets': [f'10.77.0.1:{PORT}'],
    'arrivals': {},
    'starts': {},
    'over_limit': 0,
    'runs': {'k': 1},
}


def violated(
    faults: list[Disturbance],
    seen: dict[str, Any],
    flow: dict[str, Any],
    request: dict[str, Any],
) -> set[str]:
    """Return the promises that are violated."""
    fleet = Fleet(FleetPlan('s', ('a',), 1, {'matcher': 1}))
    fleet.hosts[HOST] = HostPorts('matcher', 'a', 1, 2, 3, 4, 5)
    fleet.entries['entry-1'] = EntryPorts('a', '127.0.0.2', 1, 2, 3)
    fleet.services['matcher'] = {'fou': PORT}
    evidence = Evidence(
        fleet,
        Disturbances(faults),
        [{**FLOW, **flow}],
        [{**REQUEST, **request}],
        [{**SEEN, **seen}],
    )
    return {tally.promise for tally in judge(evidence) if tally.violations}


WHOLE = {'result': 'whole'}
OUT = Disturbance(Fault.centre_out, 'a', 100, 200)
DRAIN = Disturbance(Fault.host_drained, HOST, 100, 200)
STOP = Disturbance(Fault.entry_stopped, 'entry-1', 99, 120)
#: Faults, what the upstream saw, flow, request, and the promises violated.
CASES: tuple[tuple[list[Disturbance], Any, Any, Any, set[str]], ...] = (
    ([], {}, WHOLE, {}, set()),
    ([], {}, {}, {}, {Promise.flows}),
    ([Disturbance(Fault.host_killed, HOST, 105, 109)], {}, {}, {}, set()),
    (
        [Disturbance(Fault.host_killed, HOST, 90, 99)],
        {},
        {},
        {},
        {Promise.flows},
    ),
    ([OUT], {}, {}, {}, set()),
    ([DRAIN], {}, {}, {}, {Promise.flows}),
    ([], {'targets': ['10.77.0.2:80']}, WHOLE, {}, {Promise.service}),
    ([], {'over_limit': 1}, WHOLE, {}, {Promise.cold}),
    ([OUT], {'arrivals': {'1500': 1}}, WHOLE, {}, {Promise.out}),
    ([OUT], {'arrivals': {'1010': 1}}, WHOLE, {}, set()),
    ([DRAIN], {'starts': {'1500': 1}}, WHOLE, {}, {Promise.leaving}),
    ([], {}, WHOLE, {'outcome': 'crossed'}, {Promise.whole}),
    ([], {}, WHOLE, {'outcome': 'not-run'}, {Promise.not_run}),
    ([], {'runs': {'k': 2}}, WHOLE, {}, {Promise.once}),
    ([STOP], {}, WHOLE, {'outcome': 'unknown'}, {Promise.graceful}),
    ([], {}, WHOLE, {'outcome': 'unknown'}, set()),
)


class TestJudge(unittest.TestCase):
    """Each promise can be violated, and each excuse has its bounds."""

    def test_cases(self) -> None:
        """The judge names just the promises that are violated."""
        for faults, seen, flow, request, expected in CASES:
            with self.subTest(faults=faults, seen=seen, request=request):
                self.assertEqual(
                    violated(faults, seen, flow, request),
                    expected,
                )
