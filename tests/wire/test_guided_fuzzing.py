"""Fuzz tests of decoders, guided by the branches that inputs reach.

An input that reaches a new line is kept and mutated further. Decoders may only
raise their documented errors.
"""

import asyncio
import random
import sys
import tempfile
import types
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from siskinbank.kernel.findings import Findings
from siskinbank.config.sections import Manifest, parse_manifest
from siskinbank.directory.store import judge_document
from siskinbank.sidecar.health_checks import parse_report
from siskinbank.wire.envelopes import Envelope, read_owned
from siskinbank.wire.headers import header_problem, target_problem
from siskinbank.wire.keyfile import load_keys
from siskinbank.wire.keys import Key, KeyRing, parse_keys
from siskinbank.wire.messages import MessageError, decode, encode
from siskinbank.wire.packets import parse_inner, plain_flow
from siskinbank.wire.request_messages import LinkOpened, RequestHead
from siskinbank.wire.streams import MessageStream

_SEED = 1
_INPUTS = 4000
_MAX_INPUT_BYTES = 2000
_MAX_MUTATIONS = 6
_REPLACED_BYTES = (0, 1, 1, 2, 8, 60)
_KEYS = f'1:{"ab" * 32},2:{"cd" * 32}'
_HEAD = RequestHead(
    1, 2, 'k', '', True, 3.5, False, 'GET', '/', -1, [['a', 'b']]
)
#: Bytes at which decoders branch.
_TOKENS = (
    b'\0',
    b'\xff',
    b'\x7f',
    b'\xc1',
    b'\xdd\xff\xff\xff\xff',
    b'\x91' * 1200,
    b'[' * 1200,
    b':',
    b',',
    b'@',
    b'"',
    b'{',
    b'1e999',
    b'9' * 400,
    '²'.encode(),
)
_INNER = bytes.fromhex('4500002c000000004006000001020304050607080050005000')

Decoder = Callable[[bytes], object]


def fuzz(decoder: Decoder, seeds: list[bytes], count: int) -> int:
    """Run a decoder on ``count`` inputs; return the number of kept ones."""
    rng = random.Random(_SEED)
    kept = list(seeds)
    reached: set[tuple[types.CodeType, int]] = set()
    for number in range(count):
        given = seeds[number] if number < len(seeds) else _mutate(kept, rng)
        lines = _trace(decoder, given)
        if not lines <= reached:
            reached |= lines
            kept.append(given)
    return len(kept) - len(seeds)


def _mutate(kept: list[bytes], rng: random.Random) -> bytes:
    mutated = rng.choice(kept)
    for _ in range(rng.randint(1, _MAX_MUTATIONS)):
        start = rng.randint(0, len(mutated))
        end = start + rng.choice(_REPLACED_BYTES)
        tail = rng.choice((mutated[end:], rng.choice(kept)[start:]))
        inserted = (b'', rng.randbytes(1), rng.choice(_TOKENS))
        mutated = mutated[:start] + rng.choice(inserted) + tail
    return mutated[:_MAX_INPUT_BYTES]


def _trace(
    decoder: Decoder,
    given: bytes,
) -> set[tuple[types.CodeType, int]]:
    """Return the lines of this project that decoding reaches."""
    lines: set[tuple[types.CodeType, int]] = set()

    def trace(frame: types.FrameType, _event: str, _given: Any) -> Any:
        if 'siskinbank' not in frame.f_code.co_filename:
            return None
        lines.add((frame.f_code, frame.f_lineno))
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        decoder(given)
    finally:
        sys.settrace(previous)
    return lines


def _decode_message(given: bytes) -> object:
    try:
        decoded = decode(given)
    except MessageError:
        return None
    if isinstance(decoded, RequestHead):
        header_problem(decoded.headers)
        target_problem(decoded.method, decoded.target)
    return encode(decoded)


def _decode_stream(given: bytes) -> object:
    reader = asyncio.StreamReader(loop=_LOOP)
    reader.feed_data(given)
    reader.feed_eof()
    stream = MessageStream(reader, None)  # type: ignore[arg-type]
    try:
        return _LOOP.run_until_complete(stream.receive())
    except MessageError:
        return None


def _decode_keys(given: bytes) -> object:
    try:
        return KeyRing(parse_keys(given.decode(errors='replace'))).keys
    except ValueError:
        return None


def _decode_key_file(given: bytes) -> object:
    with tempfile.NamedTemporaryFile() as opened:
        Path(opened.name).write_bytes(given)
        try:
            return load_keys(f'@{opened.name}')
        except ValueError:
            return None


def _decode_datagram(given: bytes) -> object:
    envelope = Envelope.unpack(given)
    if envelope is not None:
        parse_inner(envelope.raw)
    return read_owned(given, 2), plain_flow(given), parse_inner(given)


def _decode_manifest(given: bytes) -> object:
    try:
        return parse_manifest(given)
    except ValueError:
        return None


def _decode_site(given: bytes) -> object:
    manifest = Manifest(1, {'site': ''})
    return judge_document(manifest, lambda _name: given, Findings())


def _decode_service(given: bytes) -> object:
    sections = {'site': _SITE, 'service/a': given}
    manifest = Manifest(1, dict.fromkeys(sections, ''))
    return judge_document(manifest, sections.__getitem__, Findings())


def _decode_report(given: bytes) -> object:
    return parse_report(200, given)


_LOOP = asyncio.new_event_loop()
_FRAME = bytes.fromhex('00000000') + bytes(8)
_ADDRESS = bytes(6)
_ENVELOPE = Envelope(2, 1, 0, 2, 3, 4, _ADDRESS, (_ADDRESS,), _INNER)
_SITE = b'{"site": "a", "data_centres": {"b": {}}}'
_SERVICE = (
    b'{"ingress": {"http": {"port": 1}}, "hosts": {"c": '
    b'{"data_centre": "b", "address": "127.0.0.1", "port": 2}}, '
    b'"cold": {"connections": 1, "slots": 1, "warm_up_seconds": 0}}'
)
#: Decoders by what they decode, with valid inputs to start from.
CASES: dict[str, tuple[Decoder, list[bytes]]] = {
    'message': (
        _decode_message,
        [encode(_HEAD), encode(LinkOpened('host', 1, 2.5))],
    ),
    'stream': (_decode_stream, [_FRAME, b'\0\0\0\1' + bytes(8) + b'\x90']),
    'keys': (_decode_keys, [_KEYS.encode()]),
    'key file': (_decode_key_file, [_KEYS.encode()]),
    'datagram': (_decode_datagram, [_ENVELOPE.pack(), _INNER]),
    'manifest': (_decode_manifest, [b'[1, {"site": "%s"}]' % (b'0' * 32)]),
    'site': (_decode_site, [_SITE]),
    'service': (_decode_service, [_SERVICE]),
    'report': (
        _decode_report,
        [b'{"status": "ok", "incarnation": 1, "uptime": 2.5}'],
    ),
}


class TestGuidedFuzzing(unittest.TestCase):
    """Decoders of bytes from outside."""

    @classmethod
    def tearDownClass(cls) -> None:  # noqa: N802
        """Close the loop that streams are read in."""
        _LOOP.close()

    def test_decoders(self) -> None:
        """No input raises an error that is not documented."""
        for name, (decoder, seeds) in CASES.items():
            with self.subTest(name):
                kept = fuzz(decoder, seeds, _INPUTS)
                self.assertGreater(kept, 1)

    def test_seal(self) -> None:
        """No sealed datagram opens after a change."""
        ring = KeyRing([Key(1, bytes(range(32)))])
        sealed = ring.seal(b'body')

        def check(given: bytes) -> None:
            if given != sealed:
                self.assertIsNone(ring.open(given))

        fuzz(check, [sealed], _INPUTS)
