"""What the parts of one sidecar share."""

from dataclasses import dataclass

from siskinbank.admission.limit import ClimbingLimit
from siskinbank.choice.router import Router
from siskinbank.config.site import Host, Service
from siskinbank.kernel.process import ProcessContext
from siskinbank.peers.connect import PeerStreams
from siskinbank.peers.datagrams import PeerSocket
from siskinbank.platform.view import FleetView
from siskinbank.settings import SidecarSettings

__all__ = ('Limits', 'SidecarContext')


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one upstream."""

    connections: ClimbingLimit
    slots: ClimbingLimit


class SidecarContext:
    """One sidecar's settings and shared parts."""

    def __init__(
        self,
        process: ProcessContext,
        settings: SidecarSettings,
        view: FleetView,
        peers: PeerSocket,
        streams: PeerStreams,
    ) -> None:
        """Share the parts of a started node."""
        self.process = process
        self.settings = settings
        self.view = view
        self.peers = peers
        self.streams = streams
        self.router = Router(view)
        self.limits: Limits | None = None
        self.service: Service | None = None
        self.host: Host | None = None
        view.subscribe(self._refresh)

    @property
    def now(self) -> float:
        """The process's clock in seconds."""
        return self.process.timers.now

    @property
    def is_out(self) -> bool:
        """Whether this data centre is out of service."""
        site = self.view.site
        if site is None or self.host is None:
            return True
        return site.is_out(self.host)

    @property
    def takes_work(self) -> bool:
        """Whether this upstream may get new work."""
        site = self.view.site
        if site is None or self.host is None:
            return False
        if self.process.stopping.is_set():
            return False
        return (
            site.takes_work(self.host)
            and self.host.name not in self.view.leaving
        )

    def _refresh(self) -> None:
        site = self.view.site
        found = site.find_host(self.process.name) if site else None
        if found is None:
            self.service = None
            self.host = None
            return
        self.service, self.host = found
        if self.limits is None:
            self.limits = self._make_limits(self.service)

    def _make_limits(self, service: Service) -> Limits:
        cold = service.cold
        clock = self._now
        return Limits(
            ClimbingLimit(
                cold.connections,
                service.connections,
                cold.warm_up_seconds,
                clock,
            ),
            ClimbingLimit(
                cold.slots,
                service.slots,
                cold.warm_up_seconds,
                clock,
            ),
        )

    def _now(self) -> float:
        return self.process.timers.now
