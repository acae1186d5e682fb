"""Tests of the decision whether a host is gone."""

import unittest

from siskinbank.admission import reasons
from siskinbank.tracking.liveness import Evidence, HostProbes, gone_reason

HOST = '10.0.0.1'
ENOUGH = 3


class TestGoneReason(unittest.TestCase):
    """Which evidence suffices."""

    def reason(
        self,
        silent_s: float,
        idempotent: bool,
        probed_s: float = 60,
        state: int = reasons.NONE,
        unanswered: int = ENOUGH,
        idle_timeout_s: float = 15,
    ) -> str:
        """Return the decision on a host that the store lists."""
        evidence = Evidence(state, silent_s)
        evidence.unanswered = unanswered
        evidence.probed_s = probed_s
        evidence.idle_timeout_s = idle_timeout_s
        return gone_reason(evidence, idempotent)

    def test_wait_for_silent_host(self) -> None:
        """The wait is shorter if a request may run again."""
        for silent_s, idempotent, waits in (
            (0.5, True, True),
            (1.4, True, False),
            (1.4, False, True),
            (3.1, False, False),
        ):
            found = not self.reason(silent_s, idempotent)
            self.assertEqual(found, waits, (silent_s, idempotent))

    def test_sidecar_with_record(self) -> None:
        """Load pattern: rolling restarts whose announcements are lost.

        After a loss of power, a sidecar whose host was replaced comes back without
        a record and vanishes; it may not delay searches for as long.
        """
        evidence = Evidence(reasons.NONE, 1.7)
        evidence.unanswered = ENOUGH
        evidence.probed_s = 1
        self.assertEqual(gone_reason(evidence, True), 'unanswered')
        evidence.had_record = True
        self.assertEqual(gone_reason(evidence, True), '')
        evidence.silent_s = 1.9
        self.assertEqual(gone_reason(evidence, True), 'unanswered')

    def test_long_status_interval(self) -> None:
        """Load pattern: hundreds of entries with a status update every 20 s.

        Silence counts from shortly before the first probe.
        """
        self.assertEqual(self.reason(20, True, probed_s=0.7), '')
        self.assertEqual(self.reason(20, True, probed_s=0.9), 'unanswered')
        self.assertEqual(self.reason(20, False, probed_s=2.4), '')
        self.assertEqual(self.reason(20, False, probed_s=2.6), 'unanswered')

    def test_planned_stop(self) -> None:
        """Load pattern: a release stops sidecars before their hosts.

        Such a host may serve its flows until they are idle for as long as the
        operator allows.
        """
        stopping = reasons.STOPPING
        for limit_s in (15, 40):
            for silent_s, reason in (
                (limit_s - 0.1, ''),
                (limit_s + 0.1, 'unanswered'),
            ):
                found = self.reason(
                    silent_s, True, state=stopping, idle_timeout_s=limit_s
                )
                self.assertEqual(found, reason, (limit_s, silent_s))

    def test_silence_alone(self) -> None:
        """No silence, however long, counts without unanswered probes."""
        for state in (reasons.NONE, reasons.UNREGISTERED, reasons.STOPPING):
            found = self.reason(60, True, state=state, unanswered=ENOUGH - 1)
            self.assertEqual(found, '')

    def test_missing_record(self) -> None:
        """Silence is short if sidecar or store said that it is missing."""
        unregistered = reasons.UNREGISTERED
        found = self.reason(0.7, False, state=unregistered)
        self.assertEqual(found, 'unregistered')
        evidence = Evidence(reasons.NONE, 0.7)
        evidence.unanswered = ENOUGH
        evidence.listed = False
        self.assertEqual(gone_reason(evidence, False), 'unregistered')

    def test_missing_record_of_a_stopping_sidecar(self) -> None:
        """A sidecar that stops may restart within three seconds."""
        for silent_s, expected in ((2.9, ''), (3.1, 'unregistered')):
            evidence = Evidence(reasons.STOPPING, silent_s)
            evidence.unanswered = ENOUGH
            evidence.listed = False
            self.assertEqual(gone_reason(evidence, True), expected)

    def test_record_since_the_last_status(self) -> None:
        """A newer listing that has the host counts more than its status."""
        evidence = Evidence(reasons.UNREGISTERED, 0.7)
        evidence.unanswered = ENOUGH
        evidence.listed = True
        self.assertEqual(gone_reason(evidence, False), '')

    def test_end(self) -> None:
        """The sidecar said that nothing listens on the port of its host."""
        found = self.reason(0, False, state=reasons.ENDED, unanswered=0)
        self.assertEqual(found, 'ended')


class TestProbes(unittest.TestCase):
    """Probes of one silent sidecar."""

    def setUp(self) -> None:
        """Begin to probe a sidecar."""
        self.probes = HostProbes()
        self.probes.check(100)
        self.probes.begin(HOST, 100)

    def check(self, *times: float) -> list[float]:
        """Check at these times; return those at which a probe was sent."""
        return [now for now in times if self.probes.check(now)]

    def test_unanswered(self) -> None:
        """Three probes within half a second, then one a second."""
        times = [100 + number / 10 for number in range(1, 31)]
        sent = self.check(*times)
        self.assertEqual(sent[:ENOUGH], times[:ENOUGH])
        self.assertGreaterEqual(sent[ENOUGH], sent[ENOUGH - 1] + 0.99)
        self.assertLessEqual(len(sent), 6)
        self.assertEqual(self.probes.unanswered(HOST, 103), 5)
        self.probes.note_message(HOST)
        self.assertEqual(self.probes.unanswered(HOST, 103), 0)

    def test_stall_of_this_process(self) -> None:
        """Answers may have been dropped while this process did not run."""
        self.check(100.1, 100.2, 100.3)
        self.check(103)
        self.assertEqual(self.probes.unanswered(HOST, 103), 0)
        self.check(103.1, 103.2, 103.3)
        self.assertEqual(self.probes.unanswered(HOST, 103.3), ENOUGH)

    def test_pause_is_no_time_probed(self) -> None:
        """The series begins anew after a stall of this process."""
        self.check(100.1, 100.2, 100.3)
        self.check(101.2, 101.3, 101.4, 101.5)
        self.assertEqual(self.probes.unanswered(HOST, 101.5), ENOUGH)
        self.assertAlmostEqual(self.probes.probed_s(HOST, 101.5), 0.3)

    def test_old_check(self) -> None:
        """What was found before a stall doesn't count after it."""
        self.check(100.1, 100.2, 100.3, 100.4)
        self.assertEqual(self.probes.unanswered(HOST, 100.4), ENOUGH)
        self.assertEqual(self.probes.unanswered(HOST, 102), 0)

    def test_queries(self) -> None:
        """Queries of searches count, and no probes are sent beside them."""
        for number in range(1, 11):
            self.probes.note_query(HOST, 100 + number / 10 - 0.05)
            self.assertEqual(self.check(100 + number / 10), [])
        self.assertGreaterEqual(self.probes.unanswered(HOST, 101), ENOUGH)

    def test_end_of_probes(self) -> None:
        """A host that never answers isn't probed forever."""
        sent = self.check(*(100 + number / 2 for number in range(1, 300)))
        self.assertLess(sent[-1], 161)
