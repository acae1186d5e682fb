"""State shared by the parts of one sidecar."""

from siskinbank.admission.health_monitor import Verdict
from siskinbank.admission.upstream import (
    Limits,
    OwnedFlows,
    UpstreamAdmission,
    make_admission,
)
from siskinbank.choice.router import Router
from siskinbank.config.site import Host, Service
from siskinbank.directory.view import FleetView
from siskinbank.kernel import events
from siskinbank.kernel.process import ProcessContext
from siskinbank.kernel.reasons import Refusal
from siskinbank.peers.connect import PeerStreams
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.settings import SidecarSettings

__all__ = ('Limits', 'SidecarContext')


_SWEEP_INTERVAL_SECONDS = 1.0
_EVENT_BY_VERDICT = {
    Verdict.cold: events.UPSTREAM_COLD,
    Verdict.unreachable: events.UPSTREAM_UNREACHABLE,
    Verdict.back: events.UPSTREAM_RECOVERED,
    Verdict.distrusted: events.HEALTH_REPORT_IGNORED,
}


class SidecarContext:
    """The settings and shared parts of one sidecar."""

    def __init__(
        self,
        process: ProcessContext,
        settings: SidecarSettings,
        view: FleetView,
        peers: PeerSocket,
        streams: PeerStreams,
    ) -> None:
        """Initialize the context from the parts of a started node."""
        self.process = process
        self.settings = settings
        self.view = view
        self.peers = peers
        self.streams = streams
        self.router = Router(view)
        self.admission: UpstreamAdmission | None = None
        self.owned_flows: OwnedFlows = tuple
        self._was_out_of_service = False
        self.service: Service | None = None
        self.host: Host | None = None
        view.subscribe(self._refresh)

    @property
    def limits(self) -> Limits | None:
        """The upstream's limits, None until its service is known."""
        return self.admission.limits if self.admission else None

    @property
    def now(self) -> float:
        """The time of the process's clock in seconds."""
        return self.process.timers.now

    @property
    def is_out(self) -> bool:
        """Return whether this data centre is out of service."""
        site = self.view.site
        if site is None or self.host is None:
            return True
        return site.is_out(self.host)

    @property
    def accepts_work(self) -> bool:
        """Return whether this upstream may get new work."""
        return self.refusal is None

    @property
    def refusal(self) -> Refusal | None:
        """The reason why this upstream may get no new work, if any.

        A process that was suspended may hold an old view, in which its data
        centre is still in service; it accepts no work until the view has been
        refreshed.
        """
        site = self.view.site
        if site is None or self.host is None:
            return Refusal.draining
        leaving = self.host.name in self.view.leaving
        if leaving or not site.accepts_work(self.host):
            return Refusal.draining
        if self.process.stopping.is_set():
            return Refusal.draining
        return None if self.view.fresh else Refusal.stale_view

    def _refresh(self) -> None:
        site = self.view.site
        found = site.find_host(self.process.name) if site else None
        if found is None:
            self.service = None
            self.host = None
            return
        self.service, self.host = found
        if self.admission is None:
            self.admission = make_admission(
                self.service,
                self.process.timers.clock,
                self._record_verdict,
                lambda: self.owned_flows(),
            )
            self.process.timers.every(
                _SWEEP_INTERVAL_SECONDS,
                self.admission.flow_suspension.sweep,
            )
        self.admission.limits.apply_configuration(self.service)
        # The upstream counts as cold when its data centre returns to service.
        if self._was_out_of_service and not self.is_out:
            self.admission.health_monitor.note_cold()
            self.admission.turn_cold()
        self._was_out_of_service = self.is_out

    def _record_verdict(self, verdict: Verdict) -> None:
        self.process.metrics.count(verdict)
        if verdict is not Verdict.trouble:
            self.process.log.write(_EVENT_BY_VERDICT[verdict])
