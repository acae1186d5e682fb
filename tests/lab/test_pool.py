"""Tests of the in-memory pool and of flows during a change."""

import unittest

from siskinbank.config.models import DocumentModel
from siskinbank.config.sections import Manifest, make_site
from siskinbank.config.site import Site
from siskinbank.lab.pool import Pool
from siskinbank.lab.standins.packets import ACK, SYN, Flow, make_packet

HOSTS = 5
FLOWS = 200


def make_test_site(generation: int, hosts: int, draining: int = 0) -> Site:
    """Return a site with one service whose first hosts are draining."""
    document = {
        'site': 'lab',
        'data_centres': {'a': {}},
        'services': {
            'matcher': {
                'ingress': {'fou': {'address': '10.77.0.1', 'port': 443}},
                'cold': {
                    'connections': 2000,
                    'slots': 3,
                    'warm_up_seconds': 0,
                },
                'hosts': {
                    f'matcher-{number}': {
                        'data_centre': 'a',
                        'address': f'10.0.0.{number + 1}',
                        'port': 7100,
                        'state': 'draining' if number < draining else 'active',
                    }
                    for number in range(hosts)
                },
            },
        },
    }
    model = DocumentModel.model_validate(document)
    return make_site(model, Manifest(generation, {}))


class TestPool(unittest.TestCase):
    """Flows survive planned changes."""

    def test_drain_and_new_host_break_no_flow(self) -> None:
        """Flows stay with their owner while the pool changes."""
        pool = Pool(seed=1)
        for number in range(3):
            pool.add_entry(f'entry-{number}', number)
        for position in range(HOSTS + 1):
            name = f'matcher-{position}'
            pool.add_sidecar(name, (f'10.0.0.{position + 1}', 7100))
        pool.publish(make_test_site(1, HOSTS))
        flows = [
            Flow('10.9.0.1', port, '10.77.0.1', 443)
            for port in range(2000, 2000 + FLOWS)
        ]
        for flow in flows:
            pool.spray(make_packet(flow, SYN))
        pool.run(1)
        pool.publish(make_test_site(2, HOSTS + 1, draining=1), spread=3)
        for _ in range(5):
            for flow in flows:
                pool.spray(make_packet(flow, ACK, b'x'))
            pool.run(1)
        upstreams = [sidecar.upstream for sidecar in pool.sidecars.values()]
        self.assertEqual(
            sum(len(upstream.flows) for upstream in upstreams), FLOWS
        )
        self.assertFalse(
            [
                upstream.unknown_flows
                for upstream in upstreams
                if upstream.unknown_flows
            ]
        )
        packets = sum(upstream.packets.total() for upstream in upstreams)
        self.assertEqual(packets, FLOWS * 6)
