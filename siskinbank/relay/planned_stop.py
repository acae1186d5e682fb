"""Planned stop of a sidecar, which waits for requests and for a leaving host."""

from __future__ import annotations

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
# Minimum duration of a planned stop, in seconds: time for new flows to go to
# other hosts.
_STOP_DELAY_S = 0.15
# Times after the begin of a stop at which it is announced again, in seconds, as
# single datagrams may be lost: both lie before the shortest stop ends.
_REPEATS_AFTER_S = (0.05, 0.1)


class PlannedStop:
    """Stops a sidecar once its host no longer needs it.

    Load pattern: in a release a sidecar may be stopped before its draining
    host, whose open flows reach it through this sidecar only. Only a packet that
    the host's port refuses shows that it has ended: a leaving host may close its
    listener for health checks while it serves. Entries that search for its flows
    are told then.

    Load pattern: sidecars restart beside hosts that run, while datagrams are
    lost. An entry that missed the announcement would reset the flows of a
    sidecar that is away for longer than one that was killed.
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
        for delay_s in _REPEATS_AFTER_S:
            self._node.loop.after(
                delay_s, self._reporter.send_status_to_flow_entries
            )
        timeout_s = _STOP_TIMEOUT_S
        if self._may_leave():
            timeout_s = _LEAVING_STOP_TIMEOUT_S
        self._stop_at = self._node.loop.now + timeout_s
        self._node.loop.after(_STOP_DELAY_S, self._stop_when_idle)

    def note_unreachable(self) -> None:
        """Record that the port of the host refuses packets."""
        self._is_host_running = False
        if self._host.stopping:
            self._reporter.send_status_to_all()

    def _stop_when_idle(self) -> None:
        in_use = self._host.busy > 0 or (
            self._may_leave()
            and self._is_host_running
            and self._may_hold_open_flows()
        )
        if in_use and self._node.loop.now < self._stop_at:
            self._node.loop.after(_STOP_CHECK_INTERVAL_S, self._stop_when_idle)
        else:
            self._node.stop()

    def _may_leave(self) -> bool:
        return self._host.record is None or self._host.is_leaving

    def _may_hold_open_flows(self) -> bool:
        now = self._node.loop.now
        return not self._host.has_observed_all_flows(now) or any(
            not flow.ended_at for flow in self._flows.values()
        )
