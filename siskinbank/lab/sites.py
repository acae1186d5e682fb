"""Sites with one packet service, for experiments and tests."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from siskinbank.config.models import DocumentModel
from siskinbank.config.sections import Manifest, make_site
from siskinbank.config.site import Address, Site

__all__ = ('SERVICE', 'SERVICE_ADDRESS', 'PoolPlan', 'host_address')

SERVICE = 'matcher'
SERVICE_ADDRESS: Address = ('10.77.0.1', 443)
_SIDECAR_PORT = 7100


def host_address(number: int) -> Address:
    """Return the address of a host's sidecar."""
    return f'10.{number >> 8}.{number & 0xFF}.1', _SIDECAR_PORT


@dataclass(slots=True)
class PoolPlan:
    """The hosts of the service, from which sites are made.

    Attributes:
        states: state of each host by number.
        out: data centres out of service.
        centres: data centre of each host; ``a`` if missing.
        generation: generation of the last site.
    """

    states: dict[int, str]
    out: set[str] = field(default_factory=set)
    centres: Mapping[int, str] = field(default_factory=dict)
    generation: int = 0

    def next_site(self) -> Site:
        """Return the site as the next generation."""
        self.generation += 1
        names = {'a', *self.out, *self.centres.values()}
        document = {
            'site': 'lab',
            'data_centres': {
                name: {'state': 'out' if name in self.out else 'in'}
                for name in sorted(names)
            },
            'services': {SERVICE: self._service()},
        }
        model = DocumentModel.model_validate(document)
        return make_site(model, Manifest(self.generation, {}))

    def _service(self) -> dict[str, object]:
        address, port = SERVICE_ADDRESS
        return {
            'ingress': {'fou': {'address': address, 'port': port}},
            'connections': 100_000,
            'cold': {
                'connections': 100_000,
                'slots': 3,
                'warm_up_seconds': 0,
            },
            'hosts': {
                f'{SERVICE}-{number}': {
                    'data_centre': self.centres.get(number, 'a'),
                    'address': host_address(number)[0],
                    'port': _SIDECAR_PORT,
                    'state': state,
                }
                for number, state in sorted(self.states.items())
            },
        }
