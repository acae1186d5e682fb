"""``siskinbank keys``: make, rotate and check the keys of a fleet."""

import secrets

import click

from siskinbank.commands._options import KEYS
from siskinbank.wire.keys import KEY_BYTES, MAX_KEY_ID, Key, KeyRing

__all__ = ('command',)


@click.group('keys')
def command() -> None:
    """Make, rotate and check the keys that the processes share.

    Keys are written ID:HEX[,ID:HEX], or @FILE to read them from a file. The
    first key seals datagrams and stands for the process's certificate; all
    that are written are accepted.
    """


@command.command('make')
@click.option(
    '--number',
    type=click.IntRange(0, MAX_KEY_ID),
    default=1,
    show_default=True,
    help='The number that tells this key from others.',
)
def make(number: int) -> int:
    """Print a new key."""
    click.echo(_new_key(number).text)
    return 0


@command.command('rotate')
@click.argument('current', type=KEYS)
def rotate(current: KeyRing) -> int:
    """Print the three settings that lead from CURRENT to a new key.

    Each of them must be in force everywhere before the next one is set; then
    every process understands every other one at all times.
    """
    if len(current.keys) > 1:
        raise click.UsageError(
            'two keys are valid: finish the rotation that is under way',
        )
    old = current.keys[0]
    new = _new_key((old.ident + 1) % (MAX_KEY_ID + 1))
    click.echo(f'{old.text},{new.text}')
    click.echo(f'{new.text},{old.text}')
    click.echo(new.text)
    return 0


@command.command('check')
@click.argument('keys', type=KEYS)
def check(keys: KeyRing) -> int:
    """Check KEYS and print their fingerprints, never the keys.

    `siskinbank status` shows the same fingerprints for a running process.

    \b
    Exit codes: 0 when all is right, 1 for a key that is easy to guess,
    2 for keys that no process would take.
    """
    from siskinbank.wire.tls import certificate_of

    weak = 0
    for position, key in enumerate(keys.keys):
        certificate_of(key)
        use = 'accepted' if position else 'seals'
        click.echo(f'{key.fingerprint} {use}')
        if key.is_weak:
            weak += 1
            click.echo(f'key {key.ident}: repeats few bytes; make a new one')
    return 1 if weak else 0


def _new_key(number: int) -> Key:
    return Key(number, secrets.token_bytes(KEY_BYTES))
