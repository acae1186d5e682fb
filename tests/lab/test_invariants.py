"""Test that soak checks detect violations and excuse expected losses only."""

import unittest
from typing import Any

from siskinbank.lab.disturbances import Disturbance, Disturbances, Fault
from siskinbank.lab.fleet import Fleet, FleetPlan
from siskinbank.lab.instances import EntryPorts, HostPorts
from siskinbank.lab.invariants import Evidence, Invariant, check_invariants

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
STATS = {
    'name': HOST,
    'targets': [f'10.77.0.1:{PORT}'],
    'arrivals': {},
    'starts': {},
    'over_limit': 0,
    'runs': {'k': 1},
}


def find_violations(
    faults: list[Disturbance],
    stats: dict[str, Any],
    flow: dict[str, Any],
    request: dict[str, Any],
) -> set[str]:
    """Return the invariants that are violated."""
    fleet = Fleet(FleetPlan('s', ('a',), 1, {'matcher': 1}))
    fleet.hosts[HOST] = HostPorts('matcher', 'a', 1, 2, 3, 4, 5)
    fleet.entries['entry-1'] = EntryPorts('a', '127.0.0.2', 1, 2, 3)
    fleet.services['matcher'] = {'fou': PORT}
    evidence = Evidence(
        fleet,
        Disturbances(faults),
        [{**FLOW, **flow}],
        [{**REQUEST, **request}],
        [{**STATS, **stats}],
    )
    return {
        tally.invariant
        for tally in check_invariants(evidence)
        if tally.violations
    }


WHOLE = {'result': 'whole'}
OUT = Disturbance(Fault.data_centre_out, 'a', 100, 200)
DRAIN = Disturbance(Fault.host_drained, HOST, 100, 200)
STOP = Disturbance(Fault.entry_stopped, 'entry-1', 99, 120)
#: Faults, upstream statistics, flow, request, and the violated invariants.
CASES: tuple[tuple[list[Disturbance], Any, Any, Any, set[str]], ...] = (
    ([], {}, WHOLE, {}, set()),
    ([], {}, {}, {}, {Invariant.flows}),
    ([Disturbance(Fault.host_killed, HOST, 105, 109)], {}, {}, {}, set()),
    (
        [Disturbance(Fault.host_killed, HOST, 90, 99)],
        {},
        {},
        {},
        {Invariant.flows},
    ),
    ([OUT], {}, {}, {}, set()),
    ([DRAIN], {}, {}, {}, {Invariant.flows}),
    ([], {'targets': ['10.77.0.2:80']}, WHOLE, {}, {Invariant.service}),
    ([], {'over_limit': 1}, WHOLE, {}, {Invariant.cold}),
    ([OUT], {'arrivals': {'1500': 1}}, WHOLE, {}, {Invariant.out}),
    ([OUT], {'arrivals': {'1010': 1}}, WHOLE, {}, set()),
    ([DRAIN], {'starts': {'1500': 1}}, WHOLE, {}, {Invariant.leaving}),
    ([], {}, WHOLE, {'outcome': 'crossed'}, {Invariant.whole}),
    ([], {}, WHOLE, {'outcome': 'not-run'}, {Invariant.not_run}),
    ([], {'runs': {'k': 2}}, WHOLE, {}, {Invariant.once}),
    ([STOP], {}, WHOLE, {'outcome': 'unknown'}, {Invariant.graceful}),
    ([], {}, WHOLE, {'outcome': 'unknown'}, set()),
)


class TestCheckInvariants(unittest.TestCase):
    """Test violations of each invariant and the limits of each excuse."""

    def test_cases(self) -> None:
        """Check that exactly the violated invariants are reported."""
        for faults, stats, flow, request, expected in CASES:
            with self.subTest(faults=faults, stats=stats, request=request):
                self.assertEqual(
                    find_violations(faults, stats, flow, request),
                    expected,
                )
