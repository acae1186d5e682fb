"""Tests of the rejection of first packets that an entry cannot place."""

import unittest

from siskinbank.entry.first_packets import (
    DROP,
    EARLIER_COPY_ELSEWHERE,
    NEXT_COPY_DUE,
    REJECT,
    SEARCH,
    SEARCH_LIMIT,
    FirstPackets,
    SocketWait,
)

HOSTS = 4
# Times in seconds at which a client sends the copies of a first packet.
SENT_S = (0, 0.2, 0.6)
GIVES_UP_S = 1.4
# Time from a first packet to the refusal by a sidecar, in seconds.
REFUSAL_S = 0.01
# Queries a second that searches for first packets may take.
QUERIES_PER_S = 100
SPIKE = 3000


def key_of(number: int) -> bytes:
    """Return the key of a flow."""
    return number.to_bytes(12, 'big')


class TestDecision(unittest.TestCase):
    """What an entry does with a first packet that it cannot place."""

    def setUp(self) -> None:
        """Create the memory of an entry."""
        self.packets = FirstPackets()
        self.key = key_of(1)

    def receive(self, *copies: int) -> None:
        """Receive copies at the times at which the client sends them."""
        for copy in copies:
            self.packets.note(self.key, copy, SENT_S[copy])

    def decide(self, now: float) -> tuple[str, str]:
        """Return the decision on the packet."""
        return self.packets.decide(self.key, now, HOSTS)

    def test_fresh_first_copy(self) -> None:
        """It is rejected at once, so that the client can retry."""
        self.receive(0)
        self.assertEqual(self.decide(REFUSAL_S), (REJECT, ''))

    def test_all_copies_came_in_time(self) -> None:
        """Load pattern: queues are full; each copy is refused in turn."""
        for copy, sent in enumerate(SENT_S):
            self.receive(copy)
            with self.subTest(copy=copy):
                self.assertEqual(self.decide(sent + REFUSAL_S), (REJECT, ''))

    def test_first_copy_waited(self) -> None:
        """Load pattern: an entry was paused (seeds 4, 9, 16 and 23).

        The client has sent the next copy, maybe through another entry.
        """
        self.receive(0)
        for waited in (0.2, 0.5, GIVES_UP_S, 2):
            with self.subTest(waited=waited):
                self.assertEqual(self.decide(waited), (DROP, NEXT_COPY_DUE))

    def test_refusal_comes_late(self) -> None:
        """Load pattern: a sidecar queues a flow and refuses it later.

        The entry is stopped (seed 3) or has left rotation (11, 22), so the next
        copy goes to another entry.
        """
        self.receive(0, 1)
        self.assertEqual(self.decide(0.5), (REJECT, ''))
        self.assertEqual(self.decide(SENT_S[2]), (DROP, NEXT_COPY_DUE))

    def test_last_copy_waited(self) -> None:
        """The client has given up or is connected: a reset is of no use."""
        self.receive(0, 1, 2)
        self.assertEqual(self.decide(GIVES_UP_S), (DROP, NEXT_COPY_DUE))

    def test_earlier_copy_went_elsewhere(self) -> None:
        """Its entry may have placed it; the sidecars know."""
        for copies in ((1,), (2,), (0, 2), (1, 2)):
            with self.subTest(copies=copies):
                self.packets = FirstPackets()
                self.receive(*copies)
                now = SENT_S[copies[-1]] + REFUSAL_S
                self.assertEqual(
                    self.decide(now), (SEARCH, EARLIER_COPY_ELSEWHERE)
                )

    def test_older_copy_is_read_last(self) -> None:
        """The age is that of the newest copy, whatever the order of arrival."""
        self.packets.note(self.key, 1, SENT_S[1])
        self.packets.note(self.key, 0, SENT_S[1])
        self.assertEqual(self.decide(SENT_S[1] + 0.3), (REJECT, ''))
        self.assertEqual(self.decide(SENT_S[2]), (DROP, NEXT_COPY_DUE))

    def test_duplicate_copy(self) -> None:
        """A network that duplicates a copy does not make it younger."""
        self.packets.note(self.key, 0, 0)
        self.packets.note(self.key, 0, 0.3)
        self.assertEqual(self.decide(0.3), (DROP, NEXT_COPY_DUE))

    def test_number_of_copy_is_forged(self) -> None:
        """Any number of a copy is a valid one of a packet."""
        self.packets.note(self.key, (1 << 32) - 1, 0)
        self.assertEqual(self.decide(0)[0], SEARCH)

    def test_port_is_used_again(self) -> None:
        """Copies of another flow of the same port do not count."""
        self.packets.note(self.key, 1, 0)
        self.packets.note(self.key, 0, 5)
        self.assertEqual(self.decide(5), (REJECT, ''))

    def test_refusal_of_forgotten_packet(self) -> None:
        """Its client has given up."""
        self.assertEqual(self.decide(0), (DROP, NEXT_COPY_DUE))

    def test_description(self) -> None:
        """The log states which copies came, and how old the last one is."""
        self.receive(0, 2)
        self.assertEqual(
            self.packets.describe(self.key, 0.75),
            {'copies': '0,2', 'age_ms': 150},
        )


class TestLoad(unittest.TestCase):
    """Cost of the decision under load."""

    def test_spike_of_refusals(self) -> None:
        """Load pattern: 3,000 refusals a second at an entry in rotation.

        Each copy is rejected at once; none causes a search.
        """
        packets = FirstPackets()
        decisions = set()
        for number in range(SPIKE):
            now = number / SPIKE
            packets.note(key_of(number), 0, now)
            decisions.add(packets.decide(key_of(number), now, HOSTS))
        self.assertEqual(decisions, {(REJECT, '')})

    def test_spike_of_last_copies(self) -> None:
        """Load pattern: hosts are cold, and only last copies are rejected."""
        packets = FirstPackets()
        sent = sorted(
            (number / SPIKE + SENT_S[copy], copy, number)
            for number in range(SPIKE)
            for copy in range(3)
        )
        decisions = set()
        for now, copy, number in sent:
            packets.note(key_of(number), copy, now)
            if copy == 2:
                decisions.add(packets.decide(key_of(number), now, HOSTS))
        self.assertEqual(decisions, {(REJECT, '')})

    def test_searches_are_limited(self) -> None:
        """Load pattern: an entry fails; its clients' later copies come here."""
        for hosts in (HOSTS, 60):
            packets = FirstPackets()
            actions = []
            for number in range(SPIKE):
                now = number / SPIKE * 2
                packets.note(key_of(number), 1, now)
                actions.append(packets.decide(key_of(number), now, hosts))
            queries = actions.count((SEARCH, EARLIER_COPY_ELSEWHERE)) * hosts
            with self.subTest(hosts=hosts):
                # Two seconds, a burst of one, and the search that ends it.
                self.assertLessEqual(queries, QUERIES_PER_S * 3 + hosts)
                self.assertGreater(queries, QUERIES_PER_S * 2)
                self.assertIn((DROP, SEARCH_LIMIT), actions)

    def test_memory_is_bounded(self) -> None:
        """First packets are forgotten after 1.4 s and beyond a number."""
        packets = FirstPackets()
        for number in range(10000):
            packets.note(key_of(number), 0, 0)
        self.assertLess(len(packets), 8200)
        for number in range(10000, 20000):
            packets.note(key_of(number), 0, number / 1000)
        self.assertLess(len(packets), 1500)


class TestSocketWait(unittest.TestCase):
    """How long packets may have waited in a socket."""

    def test_process_is_paused(self) -> None:
        """What is read after a pause may have come right at its begin."""
        wait = SocketWait()
        wait.end_read(is_drained=True, previous_turn=0)
        self.assertEqual(wait.empty_at(0.05), 0.05)

    def test_backlog_takes_several_turns(self) -> None:
        """What is read in later turns may have waited as long."""
        wait = SocketWait()
        wait.end_read(is_drained=False, previous_turn=1)
        wait.end_read(is_drained=False, previous_turn=3)
        self.assertEqual(wait.empty_at(4), 1)
        wait.end_read(is_drained=True, previous_turn=4)
        self.assertEqual(wait.empty_at(5), 5)
