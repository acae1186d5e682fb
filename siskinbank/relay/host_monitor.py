"""Probes suspect sidecars and tells which hosts are gone."""

from __future__ import annotations

from _socket import inet_aton, inet_ntoa

from siskinbank.admission import reasons
from siskinbank.platform.packets import route_key
from siskinbank.relay import messages
from siskinbank.relay.loop import NEVER
from siskinbank.tracking.isolation import Witnesses, heard_by_half
from siskinbank.tracking.liveness import (
    ENDED,
    UNANSWERED,
    UNREGISTERED,
    Evidence,
    gone_reason,
    is_suspect,
)

TYPE_CHECKING = False
if TYPE_CHECKING:
    from siskinbank.relay.follower import StoreFollower
    from siskinbank.relay.node import Node
    from siskinbank.tracking.hosts import HostTable, TrackedHost

__all__ = ('DISCOVERY_TIMEOUT_S', 'HostMonitor')

# Time after the start of the process, in seconds, by which all reachable hosts
# are known, also those without a record, by their status updates. Until then no
# search ends without a host, and first packets that no host accepts are queued.
DISCOVERY_TIMEOUT_S = 0.6

# Interval at which silent sidecars are looked for, and interval of probes, in
# seconds.
_SCAN_INTERVAL_S = 0.3
_PROBE_INTERVAL_S = 0.1
# Maximum age of a listing of the hosts, in seconds, from which the absence of a
# silent host is inferred: the next reader has replaced a failed one by then.
_MAX_LIST_AGE_S = 2.0
# Half of the hosts must have been heard within this time, in seconds, whatever
# intervals they announced: three missed updates of a host in use, and longer
# than a scan and a probe take to hear a host anew.
_MAX_HEARD_AGE_S = 1.3
# Minimum interval between log lines on hosts that are excused, in seconds:
# isolation concerns all of them, and each packet of their flows.
_EXCUSE_LOG_INTERVAL_S = 1.0
_MS = 1000


class HostMonitor:
    """Tells an entry which hosts are gone.

    A probe is a hello: the sidecar answers it with a status update, and counts
    the entry among the receivers of its updates again.
    """

    __slots__ = (
        '_data_centre',
        '_excuse_logged_at',
        '_follower',
        '_half_heard_at',
        '_half_heard_checked_at',
        '_hosts',
        '_node',
        '_started',
        '_witnesses',
    )

    def __init__(
        self, node: Node, hosts: HostTable, follower: StoreFollower
    ) -> None:
        """Start the timers.

        Args:
            node: the process that runs the entry.
            hosts: the known state of the hosts, from their sidecars.
            follower: the state read from the store.
        """
        self._node = node
        self._hosts = hosts
        self._follower = follower
        self._started = node.loop.now
        self._witnesses = Witnesses()
        self._excuse_logged_at = NEVER
        self._half_heard_at = NEVER
        self._half_heard_checked_at = NEVER
        self._data_centre = messages.digest(node.settings.data_centre)
        node.loop.every(_SCAN_INTERVAL_S, self._probe_suspects)
        node.loop.every(_PROBE_INTERVAL_S, self._check_probes)

    def loss_reason(self, ip: str, key: bytes) -> str:
        """Return why the host of a flow counts as gone, empty if it may not be.

        A silent host counts as alive while this process may be isolated from
        it, whether the store lists it or not.

        Args:
            ip: address of the host.
            key: key of the flow.
        """
        if ip not in self._hosts.probes:
            now = self._node.loop.now
            host = self._hosts.get(ip)
            if host and not is_suspect(now - host.last_seen):
                # The common case, taken for nearly every packet.
                return ENDED if host.status.state == reasons.ENDED else ''
            self._hosts.probes.begin(ip, now)
        route = self._follower.configuration.routes.get(route_key(key))
        idempotent = route is not None and route.idempotent
        return self._gone_reason(ip, idempotent)

    def probe(self, ips: list[str]) -> None:
        """Probe sidecars that have not answered, or never sent anything."""
        for ip in ips:
            self._hosts.probes.begin(ip, self._node.loop.now)

    def present_hosts(self) -> list[TrackedHost]:
        """Return the hosts that may hold a flow.

        They are all but those that have ended, or are unregistered and silent.
        A flow stays at its host when a later configuration sends new flows of
        its route to other services, so these are the hosts of all services.
        """
        return [
            host
            for host in self._hosts.all()
            if not self._seems_gone(host) or self._is_excused(host)
        ]

    def never_seen(self) -> list[str]:
        """Return the hosts in the store that have sent no status update yet."""
        listed = map(inet_ntoa, self._follower.listing.addresses)
        return [ip for ip in listed if not self._hosts.get(ip)]

    def describe(self, ip: str) -> dict[str, object]:
        """Return what is known of a host and how old it is, for the log."""
        now = self._node.loop.now
        evidence = self._evidence(ip)
        host = self._hosts.get(ip)
        listing = self._follower.listing
        return {
            'host': ip,
            'state': reasons.name_of(evidence.state) if host else 'unknown',
            'silent_ms': int(evidence.silent_s * _MS),
            'interval_ms': host.status.interval_ms if host else 0,
            'probes': evidence.unanswered,
            'probed_ms': int(evidence.probed_s * _MS),
            'listed': inet_aton(ip) in listing.addresses,
            'listing_age_ms': _age_ms(listing.confirmed_at, now),
        }

    def _evidence(self, ip: str) -> Evidence:
        now = self._node.loop.now
        host = self._hosts.get(ip)
        if host:
            state = host.status.state
            evidence = Evidence(state, now - host.last_seen)
            evidence.had_record = host.status.has_record
        else:
            evidence = Evidence(reasons.NONE, now - self._started)
        evidence.idle_timeout_s = self._follower.longest_idle_s
        evidence.unanswered = self._hosts.probes.unanswered(ip, now)
        if evidence.unanswered:
            evidence.probed_s = self._hosts.probes.probed_s(ip, now)
            evidence.listed = self._is_listed(ip, now - evidence.silent_s)
        return evidence

    def _is_listed(self, ip: str, last_seen: float) -> bool | None:
        """Return whether the store has a host, None if that is not known."""
        listing = self._follower.listing
        listing_age_s = self._node.loop.now - listing.confirmed_at
        if listing.confirmed_at <= last_seen or listing_age_s > _MAX_LIST_AGE_S:
            return None
        if inet_aton(ip) in listing.addresses:
            return True
        return False if self._follower.absence_is_reliable() else None

    def _gone_reason(self, ip: str, idempotent: bool) -> str:
        """Return why a probed host counts as gone, empty if it may be alive."""
        reason = gone_reason(self._evidence(ip), idempotent)
        if reason in {UNANSWERED, UNREGISTERED} and self._is_isolated(ip):
            self._log_excuse(ip, reason)
            return ''
        return reason

    def _is_excused(self, host: TrackedHost) -> bool:
        """Return whether a host that seems gone may be alive."""
        if host.status.state == reasons.ENDED or not self._is_isolated(host.ip):
            return False
        self._log_excuse(host.ip, UNREGISTERED)
        return True

    def _log_excuse(self, ip: str, reason: str) -> None:
        """Log that a silent host may be alive, as this process is isolated."""
        now = self._node.loop.now
        if now - self._excuse_logged_at < _EXCUSE_LOG_INTERVAL_S:
            return
        self._excuse_logged_at = now
        self._node.meters.count('hosts_excused_total')
        self._node.log(
            'host.excused',
            evidence=reason,
            half_heard_ms=_age_ms(self._half_heard_at, now),
            **self.describe(ip),
        )

    def _is_isolated(self, ip: str) -> bool:
        """Return whether this process may be isolated from a silent host.

        It may be unless half of the hosts have been heard lately and since the
        probes of the silent one began: its silence and theirs may have one
        cause.

        Args:
            ip: address of the silent host.
        """
        now = self._node.loop.now
        probed_s = self._hosts.probes.probed_s(ip, now)
        if self._half_heard_checked_at != now:
            self._half_heard_checked_at = now
            self._half_heard_at = self._find_half_heard_at()
        return now - self._half_heard_at > min(probed_s, _MAX_HEARD_AGE_S)

    def _find_half_heard_at(self) -> float:
        """Return the time since which half of all hosts, or witnesses, spoke."""
        heard = self._heard_at()
        witnesses = self._witnesses.current(self._node.loop.now)
        sample = [at for ip, at in heard.items() if ip in witnesses]
        return max(heard_by_half(heard.values()), heard_by_half(sample))

    def _heard_at(self) -> dict[str, float]:
        """Return when each host was heard, unless it seems to have left.

        It is ``NEVER`` for hosts that have left a probe unanswered or have sent
        nothing yet. Silent hosts without a record are left out: a release may
        have ended more of them than there are others.
        """
        now = self._node.loop.now
        probes = self._hosts.probes
        heard = {
            host.ip: NEVER
            if probes.unanswered(host.ip, now)
            else host.last_seen
            for host in self._hosts.all()
            if not self._seems_gone(host)
        }
        heard.update(dict.fromkeys(self.never_seen(), NEVER))
        return heard

    def _seems_gone(self, host: TrackedHost) -> bool:
        """Return whether a host has left, unless this process is isolated."""
        if host.ip not in self._hosts.probes:
            # The common case, taken for nearly every host in each search.
            return host.status.state == reasons.ENDED
        reason = gone_reason(self._evidence(host.ip), idempotent=False)
        return reason in {ENDED, UNREGISTERED}

    def _probe_suspects(self) -> None:
        """Begin to probe the sidecars that are silent or unknown."""
        now = self._node.loop.now
        probes = self._hosts.probes
        for host in self._hosts.all():
            if is_suspect(now - host.last_seen, host.interval_s):
                probes.begin(host.ip, now)
        self.probe(self.never_seen())
        if probes.any_begun:
            self._probe_witnesses()

    def _probe_witnesses(self) -> None:
        """Probe a sample of the hosts if few were heard lately.

        Load pattern: most hosts announced long intervals. Their answers show
        that this process is not isolated while it probes a dead host.
        """
        now = self._node.loop.now
        heard = self._heard_at()
        if not is_suspect(now - heard_by_half(heard.values())):
            return
        for ip in self._witnesses.select(heard, now):
            if is_suspect(now - heard.get(ip, NEVER)):
                self._hosts.probes.begin(ip, now)

    def _check_probes(self) -> None:
        if self._hosts.probes.any_begun and not self._node.receive_pending():
            # Answers may wait behind the messages that were handled.
            return
        hello = messages.pack_hello(0, self._data_centre)
        for ip in self._hosts.probes.check(self._node.loop.now):
            self._node.send(ip, hello)


def _age_ms(seen_at: float, now: float) -> int:
    return int((now - seen_at) * _MS) if seen_at > NEVER else -1
