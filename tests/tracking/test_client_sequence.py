"""Tests of the sequence numbers that tell the flows of one port apart."""

import unittest

from siskinbank.tracking.client_sequence import (
    IN_FLIGHT,
    PASSED_ELSEWHERE,
    ClientSequence,
)

NUMBERS = 1 << 32


class TestClientSequence(unittest.TestCase):
    """One flow of a port."""

    def test_nothing_known(self) -> None:
        """Any packet may belong to it."""
        sequence = ClientSequence()
        for number in (0, 7, NUMBERS - 1):
            self.assertTrue(sequence.includes(number, IN_FLIGHT))
            self.assertTrue(sequence.begins_with(number))

    def test_begin_is_known(self) -> None:
        """Also when the numbers wrap around."""
        for first in (1000, NUMBERS - 10):
            sequence = ClientSequence()
            sequence.begin(first)
            sequence.note((first + 80_000) % NUMBERS)
            self.assertTrue(sequence.begins_with(first))
            self.assertFalse(sequence.begins_with((first + 1) % NUMBERS))
            for offset, included in (
                (0, True),
                (80_000, True),
                (80_000 + IN_FLIGHT, True),
                (80_001 + IN_FLIGHT, False),
                (-1, False),
                (1 << 31, False),
            ):
                number = (first + offset) % NUMBERS
                with self.subTest(first=first, offset=offset):
                    self.assertEqual(
                        sequence.includes(number, IN_FLIGHT), included
                    )

    def test_begin_is_unknown(self) -> None:
        """A first packet is at most a large upload behind."""
        sequence = ClientSequence()
        sequence.note(500_000)
        self.assertTrue(sequence.begins_with(1))
        self.assertFalse(sequence.begins_with(500_001))
        self.assertFalse(sequence.begins_with(NUMBERS - (1 << 20)))
        self.assertTrue(sequence.includes(400_000, IN_FLIGHT))
        self.assertTrue(sequence.includes(700_000, PASSED_ELSEWHERE))
        self.assertFalse(sequence.includes(700_000, IN_FLIGHT))

    def test_client_has_closed(self) -> None:
        """Nothing comes after its end, also close above."""
        sequence = ClientSequence()
        sequence.begin(1000)
        sequence.note(2000)
        sequence.close()
        self.assertTrue(sequence.includes(2001, PASSED_ELSEWHERE))
        self.assertFalse(sequence.includes(10_000, PASSED_ELSEWHERE))

    def test_packets_out_of_order(self) -> None:
        """An earlier one does not lower the highest number."""
        sequence = ClientSequence()
        sequence.note(5000)
        sequence.note(3000)
        self.assertEqual(sequence.latest, 5000)


if __name__ == '__main__':
    unittest.main()
