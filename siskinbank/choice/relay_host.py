"""Selection of a sidecar that passes a packet on to another one.

Load pattern: packets pass only one way between two data centres. Entries of one
hear the status updates of hosts in the other, which they cannot reach, so none of
these hosts counts as silent. Clients of open flows send their requests again
through the same entry until their deadlines pass, while a third data centre
reaches both.
"""

from __future__ import annotations

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinbank.tracking.hosts import TrackedHost

__all__ = ('select_relay',)


def select_relay(
    hosts: Sequence[TrackedHost],
    target: TrackedHost,
    data_centre: int,
    number: int,
    attempt: int,
    now: float,
) -> TrackedHost | None:
    """Return a host in a third data centre, whose sidecar is heard.

    Args:
        hosts: all known hosts.
        target: the host that the packet is for.
        data_centre: digest of the entry's own data centre.
        number: any number; the search begins at this host, so that packets spread
            over all that fit.
        attempt: number of hosts that were selected before for the same packet;
            another one is selected while there is one.
        now: time in seconds, on a clock that runs on during suspension.

    Returns:
        None if the target is in the entry's own data centre or there is no third
        one.
    """
    near = {data_centre, target.status.data_centre}
    if len(near) == 1:
        return None
    fitting: list[TrackedHost] = []
    for index in range(number, number + len(hosts)):
        host = hosts[index % len(hosts)]
        if host.status.data_centre in near or host.is_silent(now):
            continue
        if len(fitting) == attempt:
            return host
        fitting.append(host)
    return fitting[attempt % len(fitting)] if fitting else None
