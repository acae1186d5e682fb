"""``siskinbank lab blast``: flood an address with packets for a short while."""

import click

from siskinbank.commands._options import ADDRESS
from siskinbank.config.site import Address
from siskinbank.lab.forwarding import blast

__all__ = ('command',)

_MAX_SECONDS = 10


@click.command('blast')
@click.option('--to', type=ADDRESS, required=True, help='A loopback address.')
@click.option('--service', type=ADDRESS, required=True, help='Inner target.')
@click.option(
    '--seconds',
    type=click.FloatRange(0, _MAX_SECONDS),
    default=1,
    show_default=True,
)
def command(to: Address, service: Address, seconds: float) -> None:
    """Send packets of many flows as fast as one process can."""
    if not to[0].startswith('127.'):
        raise click.BadParameter('only loopback addresses are flooded')
    blast(to, service, seconds)
