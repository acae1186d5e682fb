"""``siskinbank keys``: create, rotate and check the keys of a fleet."""

import secrets

import click

from siskinbank.commands._options import KEYS
from siskinbank.wire.keys import KEY_BYTES, MAX_KEY_ID, Key, KeyRing

__all__ = ('command',)


@click.group('keys')
def command() -> None:
    """Create, rotate and check the keys that the processes share.

    Keys have the form ID:HEX[,ID:HEX], or @FILE to read them from a file. The
    first key seals datagrams and determines the certificate of the process;
    all listed keys are accepted.
    """


@command.command('make')
@click.option(
    '--number',
    type=click.IntRange(0, MAX_KEY_ID),
    default=1,
    show_default=True,
    help='Number that identifies the key.',
)
def make(number: int) -> int:
    """Print a new key."""
    click.echo(_new_key(number).text)
    return 0


@command.command('rotate')
@click.argument('current', type=KEYS)
def rotate(current: KeyRing) -> int:
    """Print the three settings for a rotation from CURRENT to a new key.

    Each setting must be in force everywhere before the next one is applied, so
    that every process accepts the datagrams of every other one at all times.
    """
    if len(current.keys) > 1:
        raise click.UsageError(
            'two keys are valid: finish the current rotation first',
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
    """Check KEYS and print their fingerprints, but not the keys.

    `siskinbank status` shows the same fingerprints for a running process.

    \b
    Exit codes: 0 if all keys are valid, 1 for a key that is easy to guess,
    2 for keys that a process would refuse.
    """
    from siskinbank.wire.tls import certificate_of

    weak = 0
    for position, key in enumerate(keys.keys):
        certificate_of(key)
        use = 'accepted' if position else 'seals'
        click.echo(f'{key.fingerprint} {use}')
        if key.is_weak:
            weak += 1
            click.echo(
                f'key {key.ident}: too few distinct bytes; create a new key'
            )
    return 1 if weak else 0


def _new_key(number: int) -> Key:
    return Key(number, secrets.token_bytes(KEY_BYTES))
