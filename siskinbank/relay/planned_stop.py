"""Planned stop of a sidecar, which waits for requests and for a leaving host."""

from __future__ import annotations

from siskinbank.relay.listener_check import check_listener

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.relay.node import Node
    from siskinbank.relay.status_reporter import StatusReporter
    from siskinbank.sidecar.tracked_flows import TrackedFlow
    from siskinbank.tracking.own_host import OwnHost

__all__ = ('PlannedStop',)

# Maximum wait for requests in progress, in seconds; the platform kills the
# process after six.
_STOP_TIMEOUT_S = 4.0
# Maximum wait while a leaving host still serves its flows, in seconds: just
# below the six.
_LEAVING_STOP_TIMEOUT_S = 5.5
_STOP_CHECK_INTERVAL_S = 0.05
# Interval between checks whether a leaving host still runs, in seconds, and
# timeout of a check.
_HOST_CHECK_INTERVAL_S = 0.5
_HOST_CHECK_TIMEOUT_S = 0.4
# Minimum duration of a planned stop, in seconds: time for new flows to go to
# other hosts.
_STOP_DELAY_S = 0.15


class PlannedStop:
    """Stops a sidecar once its host no longer needs it.

    Load pattern: in a release a sidecar may be stopped before its draining
    host, whose open flows reach it through this sidecar only. If the host has
    ended, entries that search for its flows are told so.
    """

    __slots__ = (
        '_flows',
        '_host',
        '_is_host_running',
        '_node',
        '_reporter',
        '_stop_at',
    )

    def __init__(
        self,
        node: Node,
        host: OwnHost,
        flows: dict[bytes, TrackedFlow],
        reporter: StatusReporter,
    ) -> None:
        """Initialize the stop, which ``begin`` starts.

        Args:
            node: the process that runs the sidecar.
            host: the known state of the host.
            flows: the flows that the host holds, by flow key.
            reporter: sends status updates to the entries.
        """
        self._node = node
        self._host = host
        self._flows = flows
        self._reporter = reporter
        self._stop_at: float = 0
        self._is_host_running = True

    def begin(self) -> None:
        """Announce the stop and start to wait; the process stops at the end."""
        self._host.stopping = True
        self._reporter.send_status_to_all()
        timeout_s = _STOP_TIMEOUT_S
        if self._host.is_leaving:
            timeout_s = _LEAVING_STOP_TIMEOUT_S
        self._stop_at = self._node.loop.now + timeout_s
        self._node.loop.after(_STOP_DELAY_S, self._stop_when_idle)
        self._check_host()

    def note_unreachable(self) -> None:
        """Record that nothing listens on the port of the host."""
        self._is_host_running = False

    def _check_host(self) -> None:
        address = self._node.settings.host_address
        if address and self._is_host_running:
            check_listener(
                self._node.loop,
                address,
                self._note_host_check,
                _HOST_CHECK_TIMEOUT_S,
            )

    def _note_host_check(self, listening: bool) -> None:
        if listening:
            self._node.loop.after(_HOST_CHECK_INTERVAL_S, self._check_host)
            return
        self._is_host_running = False
        self._host.note_unreachable(self._node.loop.now)
        self._reporter.send_status_to_all()

    def _stop_when_idle(self) -> None:
        in_use = self._host.busy > 0 or (
            self._host.is_leaving
            and self._is_host_running
            and self._has_open_flows()
        )
        if in_use and self._node.loop.now < self._stop_at:
            self._node.loop.after(_STOP_CHECK_INTERVAL_S, self._stop_when_idle)
        else:
            self._node.stop()

    def _has_open_flows(self) -> bool:
        return any(not flow.ended_at for flow in self._flows.values())
