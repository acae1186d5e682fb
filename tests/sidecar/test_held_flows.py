"""Tests of the flows of a host, and the requests in them."""

import unittest

from siskinbank.platform.encoding import Packet, answer_bytes, request_bytes
from siskinbank.platform.packets import ACK, FIN, RST
from siskinbank.sidecar.held_flows import HeldFlow

CLIENT = ('100.64.0.7', 40001)
SERVICE = ('198.18.0.1', 443)
ENTRY = '10.0.0.1'
#: What comes back for a request: flags, content, outcome.
ENDS: tuple[tuple[int, bytes, str | None], ...] = (
    (ACK, b'', None),
    (ACK, answer_bytes('a', 'i-1'), '200'),
    (ACK | FIN, answer_bytes('a', 'i-1'), '200'),
    # Load pattern: callers that close their side with the request, and hosts
    # that close theirs without an answer; each would count as work for ever.
    (ACK | FIN, b'', 'cut'),
    (RST, b'', 'cut'),
)


class TestRequests(unittest.TestCase):
    """When a request is over."""

    def test_how_requests_end(self) -> None:
        """With the first packet of an answer, or with the flow."""
        for flags, content, outcome in ENDS:
            flow = HeldFlow(ENTRY, CLIENT, 100)
            request = Packet(CLIENT, SERVICE, ACK, content=request_bytes('a'))
            self.assertIsNotNone(flow.take_packet(request.write(), 100))
            back = Packet(SERVICE, CLIENT, flags, content=content)
            answer = flow.take_answer(back.write(), 101)
            self.assertEqual(answer and answer.status, outcome, flags)

    def test_a_flow_without_a_request_ends_none(self) -> None:
        """Closing an idle flow is no answer."""
        flow = HeldFlow(ENTRY, CLIENT, 100)
        back = Packet(SERVICE, CLIENT, ACK | FIN).write()
        self.assertIsNone(flow.take_answer(back, 101))
