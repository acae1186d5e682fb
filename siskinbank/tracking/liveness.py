"""Decides whether a host is gone, from evidence and its age.

Silence of a sidecar proves nothing: its status updates may be lost or wait
unread in this process, or the sidecar may have dropped this process from its
receivers. Silence starts probes, and a host counts as gone only if its sidecar
said so, or leaves probes unanswered while this process runs.
"""

from __future__ import annotations

from siskinbank.admission import reasons
from siskinbank.platform.settings import DEFAULT_FLOW_LIFETIME_S
from siskinbank.relay.loop import NEVER

__all__ = (
    'ENDED',
    'Evidence',
    'HostProbes',
    'UNANSWERED',
    'UNREGISTERED',
    'gone_reason',
    'is_suspect',
)

# Reasons why a host counts as gone, as they are logged.
ENDED = 'ended'
UNREGISTERED = 'unregistered'
UNANSWERED = 'unanswered'

# A sidecar is probed after this time without a message, in seconds, and after
# this many of its announced intervals.
_SUSPECT_AFTER_S = 0.6
_SUSPECT_INTERVALS = 1.5
# Time in which a probe must be answered, in seconds: many round trips, and
# nearly the longest pause of a core that runs on a quota.
_ANSWER_TIMEOUT_S = 0.09
# Consecutive unanswered probes that count as evidence, as single datagrams may
# be lost, and the pause in seconds between further ones.
_MIN_UNANSWERED = 3
_LATER_PAUSE_S = 1.0
# Silence before the first probe that counts as missing messages, in seconds.
_UNPROBED_SILENCE_S = 0.5
# Probes during which this process did not run for this long, in seconds, prove
# nothing: their answers may have been dropped.
_MAX_CHECK_GAP_S = 0.5

# A host with unanswered probes still counts as alive until its sidecar has been
# silent for this long, in seconds. A request that may run only once waits
# longer, as its answer may be ready: as long as a killed sidecar takes to
# restart.
_MAX_SILENCE_IDEMPOTENT_S = 1.3
# The same at least for a sidecar that had a record of its host: it may be back from
# a planned restart of 1.5 s whose announcements were lost. Later, dead hosts are
# not found within 2 s on a busy machine. After a loss of power, machines come back
# whose hosts were replaced, and vanish; their sidecars get no record, and delay no
# search.
_MAX_SILENCE_WITH_RECORD_S = 1.8
_MAX_SILENCE_ONCE_S = 3.0


class Evidence:
    """What is known of a host that may be gone.

    Attributes:
        state: reason code of the last status update, see
            ``admission.reasons``.
        silent_s: seconds since the last message from its sidecar.
        unanswered: number of consecutive unanswered probes.
        probed_s: seconds since the first of them.
        had_record: whether its sidecar has said that it has a record of the host.
        listed: whether the store has the host, by a listing that is newer than
            the last message; None if there is no such listing, or if it proves
            nothing.
        idle_timeout_s: time for which hosts may keep idle flows, in seconds.
    """

    __slots__ = (
        'had_record',
        'idle_timeout_s',
        'listed',
        'probed_s',
        'silent_s',
        'state',
        'unanswered',
    )

    def __init__(self, state: int, silent_s: float) -> None:
        """Initialize without probes and without a listing."""
        self.state = state
        self.silent_s = silent_s
        self.unanswered = 0
        self.had_record = False
        self.probed_s: float = 0
        self.listed: bool | None = None
        self.idle_timeout_s = DEFAULT_FLOW_LIFETIME_S

    @property
    def is_unregistered(self) -> bool:
        """Whether the store, or else the sidecar, said that it has no record."""
        if self.listed is None:
            return self.state == reasons.UNREGISTERED
        return not self.listed


def is_suspect(silent_s: float, interval_s: float = 0) -> bool:
    """Return whether a sidecar must be probed.

    Args:
        silent_s: seconds since the last message from the sidecar.
        interval_s: announced interval of its status updates, in seconds; 0 if a
            packet or a search depends on its host.
    """
    return silent_s > max(_SUSPECT_AFTER_S, interval_s * _SUSPECT_INTERVALS)


def gone_reason(evidence: Evidence, idempotent: bool) -> str:
    """Return the reason why a host counts as gone, empty if it may be alive.

    Load pattern: after a loss of power the store still lists hosts that never
    return. Each would delay the searches for all lost flows beyond their
    clients' deadlines. In a planned release, and when messages are lost or late,
    hosts are silent whose flows must not be reset.

    Args:
        evidence: what is known of the host.
        idempotent: whether the requests of its flow may run more than once.
    """
    if evidence.state == reasons.ENDED:
        return ENDED
    if evidence.unanswered < _MIN_UNANSWERED:
        return ''
    stopping = evidence.state == reasons.STOPPING
    if evidence.is_unregistered:
        # A sidecar that stops may restart.
        limit_s = _MAX_SILENCE_ONCE_S if stopping else _SUSPECT_AFTER_S
        return UNREGISTERED if evidence.silent_s > limit_s else ''
    limit_s = _MAX_SILENCE_IDEMPOTENT_S if idempotent else _MAX_SILENCE_ONCE_S
    if stopping:
        # The host may still serve its flows until they are idle for too long.
        limit_s = evidence.idle_timeout_s
    # With a long interval, silence begins before anything is wrong.
    silent_s = min(evidence.silent_s, evidence.probed_s + _UNPROBED_SILENCE_S)
    if evidence.had_record and evidence.silent_s <= _MAX_SILENCE_WITH_RECORD_S:
        return ''
    return UNANSWERED if silent_s > limit_s else ''


class _ProbeSeries:
    """The probes of one sidecar since its last message.

    One probe is outstanding at a time. It is counted once, when its answer is
    overdue; the next one is sent after a pause, unless a query of a search has
    taken its place.
    """

    __slots__ = (
        '_is_counted',
        '_sent_at',
        '_was_queried',
        'begun_at',
        'unanswered',
    )

    def __init__(self, begun_at: float) -> None:
        """Initialize before the first probe is sent."""
        self.begun_at = begun_at
        self.unanswered = 0
        self._sent_at = NEVER
        self._is_counted = True
        self._was_queried = False

    def restart(self, now: float) -> None:
        """Begin anew and discard the probes that were sent.

        Load pattern: entry and sidecar share a machine that pauses. Time in
        which this process did not run is no time in which it probed.
        """
        self.begun_at = now
        self.unanswered = 0
        self._sent_at = NEVER
        self._is_counted = True

    def note_query(self, now: float) -> None:
        """Take a query, which is answered like a probe, in its place."""
        self._was_queried = True
        if self._is_counted:
            self._sent_at = now
            self._is_counted = False

    def check(self, now: float) -> bool:
        """Count the last probe if it is overdue; return whether to send one."""
        waited_s = now - self._sent_at
        if not self._is_counted and waited_s >= _ANSWER_TIMEOUT_S:
            self._is_counted = True
            self.unanswered += 1
        enough = self.unanswered >= _MIN_UNANSWERED
        pause_s = _LATER_PAUSE_S if enough else _ANSWER_TIMEOUT_S
        is_due = waited_s >= pause_s and not self._was_queried
        self._was_queried = False
        if is_due:
            self._sent_at = now
            self._is_counted = False
        return is_due


class HostProbes:
    """Unanswered probes of an entry, by address of the host."""

    __slots__ = ('_checked_at', '_expiry_s', '_series')

    def __init__(self, expiry_s: float = DEFAULT_FLOW_LIFETIME_S) -> None:
        """Create an empty collection.

        Args:
            expiry_s: time in seconds after which the probes of a host end.
        """
        self._expiry_s = expiry_s
        self._series: dict[str, _ProbeSeries] = {}
        self._checked_at = NEVER

    def __contains__(self, ip: str) -> bool:
        """Return whether a sidecar is being probed."""
        return ip in self._series

    @property
    def any_begun(self) -> bool:
        """Whether any sidecar is being probed."""
        return bool(self._series)

    def begin(self, ip: str, now: float) -> None:
        """Begin to probe a sidecar, unless it is being probed."""
        if ip not in self._series:
            self._series[ip] = _ProbeSeries(now)

    def note_query(self, ip: str, now: float) -> None:
        """Record that a query was sent to a sidecar.

        Load pattern: hundreds of searches at dozens of hosts after a loss of
        power; probes between their queries would add nothing.
        """
        series = self._series.get(ip)
        if series:
            series.note_query(now)

    def note_message(self, ip: str) -> None:
        """End the probes of a sidecar that sent a message."""
        self._series.pop(ip, None)

    def unanswered(self, ip: str, now: float) -> int:
        """Return the number of consecutive unanswered probes of a sidecar.

        It is 0 while this process has not checked for answers recently.
        """
        series = self._series.get(ip)
        if series is None or now - self._checked_at > _MAX_CHECK_GAP_S:
            return 0
        return series.unanswered

    def probed_s(self, ip: str, now: float) -> float:
        """Return for how long a sidecar has been probed, in seconds."""
        series = self._series.get(ip)
        return now - series.begun_at if series else 0

    def check(self, now: float) -> list[str]:
        """Count unanswered probes and return the hosts to probe now.

        To be called regularly, when no received message waits to be handled.
        """
        has_stalled = now - self._checked_at > _MAX_CHECK_GAP_S
        self._checked_at = now
        due = []
        for ip, series in list(self._series.items()):
            if has_stalled:
                series.restart(now)
            if now - series.begun_at > self._expiry_s:
                self._series.pop(ip)
            elif series.check(now):
                due.append(ip)
        return due
