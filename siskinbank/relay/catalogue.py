"""Names and numbers of all events that entry and sidecar processes log.

The events are described in docs/OPERATIONS.md. A number is never reused for
another event; R221, R222, R224, R225 and R231 stay unassigned, although their
events were never logged.
"""

from __future__ import annotations

__all__ = ('EVENTS',)

EVENTS = {
    'process.start': 'R100',
    'process.stopping': 'R101',
    'process.stop': 'R102',
    'process.stalled': 'R103',
    'process.fault': 'R104',
    'settings.reload': 'R110',
    'settings.refused': 'R111',
    'metrics.refused': 'R112',
    'log.dropped': 'R120',
    'store.lost': 'R200',
    'store.regained': 'R201',
    'store.compacted': 'R202',
    'record.refused': 'R203',
    'store.era': 'R204',
    'configuration.taken': 'R210',
    'configuration.refused': 'R211',
    'evacuation.changed': 'R212',
    'host.changed': 'R220',
    'host.unreachable': 'R223',
    'host.refusing': 'R226',
    'host.heard': 'R227',
    'host.excused': 'R228',
    'peer.heard': 'R230',
    'peer.dropped': 'R232',
    'rotation.left': 'R240',
    'rotation.joined': 'R241',
    'flow.placed': 'R300',
    'flow.taken': 'R301',
    'flow.passed': 'R302',
    'flow.refused': 'R303',
    'flow.reset': 'R304',
    'flow.search': 'R305',
    'flow.found': 'R306',
    'flow.absent': 'R307',
    'flow.kept': 'R308',
    'flow.detoured': 'R309',
    'request.start': 'R310',
    'request.end': 'R311',
    'flow.withheld': 'R312',
    'flow.reused': 'R313',
    'packet.refused': 'R320',
    'request.held': 'R330',
    'request.released': 'R331',
}
