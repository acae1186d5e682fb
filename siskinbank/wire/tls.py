"""TLS with mutual authentication between the system's own processes.

Each shared key stands for one certificate: its Ed25519 private key is derived
from the shared key with keyed BLAKE2b, and the self-signed certificate holds
nothing else that varies. So every process makes the same certificate from the
same key, trusts just the certificates of the keys that are valid now, and
proves with its own that it holds one of them.
"""

import contextlib
import datetime
import functools
import hashlib
import os
import ssl
from collections.abc import Callable
from typing import Any

from siskinbank.wire.keys import Key, KeyRing

__all__ = ('StreamSecurity', 'certificate_of')

_PERSON = b'siskinbank-tls'
_SEED_BYTES = 32
_COMMON_NAME = 'siskinbank'
_FIRST_DAY = datetime.datetime(2000, 1, 1, tzinfo=datetime.UTC)
#: The last second that certificates can name (RFC 5280, section 4.1.2.5).
_LAST_DAY = datetime.datetime(9999, 12, 31, 23, 59, 59, tzinfo=datetime.UTC)

RefusalHandler = Callable[[str], None]


class _ServerObject(ssl.SSLObject):
    """The server's side of one connection; it tells of a failed handshake."""

    on_refusal: RefusalHandler | None = None

    def do_handshake(self) -> None:
        """Go on with the handshake.

        Raises:
            ssl.SSLError: more bytes are needed, or the other side is refused.
        """
        try:
            super().do_handshake()
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            raise
        except ssl.SSLError as error:
            if self.on_refusal is not None:
                self.on_refusal(error.reason or 'no TLS')
            raise


class _CurrentContext(ssl.SSLContext):
    """Wraps each new connection with the keys that are valid then."""

    security: 'StreamSecurity'

    def wrap_bio(self, *given: Any, **options: Any) -> ssl.SSLObject:
        """Return the TLS side of one connection."""
        current = self.security.server_now()
        wrapped = current.wrap_bio(*given, **options)
        assert isinstance(wrapped, _ServerObject)
        wrapped.on_refusal = self.security.on_refusal
        return wrapped


class StreamSecurity:
    """The TLS contexts of one process, made of its key ring."""

    def __init__(self, keys: KeyRing) -> None:
        """Follow ``keys``; contexts are made anew when they change."""
        self._keys = keys
        self._made_of: tuple[Key, ...] = ()
        self._server: ssl.SSLContext | None = None
        self._client: ssl.SSLContext | None = None
        self.on_refusal: RefusalHandler = _ignore

    @property
    def client(self) -> ssl.SSLContext:
        """The context for connections that this process opens."""
        self._refresh()
        assert self._client is not None
        return self._client

    def server(self) -> ssl.SSLContext:
        """Return a context to listen with; it follows the key ring."""
        context = _CurrentContext(ssl.PROTOCOL_TLS_SERVER)
        context.security = self
        return context

    def server_now(self) -> ssl.SSLContext:
        """Return the server's context for the keys that are valid now."""
        self._refresh()
        assert self._server is not None
        return self._server

    def _refresh(self) -> None:
        if self._made_of == self._keys.keys:
            return
        self._server = _make_context(ssl.PROTOCOL_TLS_SERVER, self._keys.keys)
        self._server.sslobject_class = _ServerObject
        self._server.num_tickets = 0
        self._client = _make_context(ssl.PROTOCOL_TLS_CLIENT, self._keys.keys)
        self._made_of = self._keys.keys


def _ignore(_reason: str) -> None:
    """Tell nobody."""


def _make_context(protocol: int, keys: tuple[Key, ...]) -> ssl.SSLContext:
    """Return a context that shows the first key's certificate.

    Certificates of all keys are trusted, and nothing else is.
    """
    context = ssl.SSLContext(protocol)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    for key in keys:
        context.load_verify_locations(cadata=certificate_of(key)[0].decode())
    _load_chain(context, *certificate_of(keys[0]))
    return context


def _load_chain(
    context: ssl.SSLContext,
    certificate: bytes,
    private_key: bytes,
) -> None:
    """Load a certificate from memory; the library takes files only."""
    number = os.memfd_create('certificate', os.MFD_CLOEXEC)
    with contextlib.closing(os.fdopen(number, 'wb')) as held:
        held.write(certificate + private_key)
        held.flush()
        context.load_cert_chain(f'/proc/self/fd/{number}')


@functools.lru_cache(maxsize=4)
def certificate_of(key: Key) -> tuple[bytes, bytes]:
    """Return the certificate and private key of a shared key, both in PEM."""
    # Imported on first use: commands without streams stay small.
    from cryptography import x509
    from cryptography.hazmat.primitives import serialization
    from cryptography.hazmat.primitives.asymmetric import ed25519

    seed = hashlib.blake2b(
        key=key.secret,
        person=_PERSON,
        digest_size=_SEED_BYTES,
    ).digest()
    private = ed25519.Ed25519PrivateKey.from_private_bytes(seed)
    public = private.public_key()
    name = x509.Name(
        [x509.NameAttribute(x509.NameOID.COMMON_NAME, _COMMON_NAME)],
    )
    builder = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(public)
        .serial_number(key.ident + 1)
        .not_valid_before(_FIRST_DAY)
        .not_valid_after(_LAST_DAY)
    )
    certificate = (
        builder.add_extension(
            x509.BasicConstraints(ca=True, path_length=0), True
        )
        .add_extension(
            x509.SubjectKeyIdentifier.from_public_key(public),
            critical=False,
        )
        .add_extension(
            x509.AuthorityKeyIdentifier.from_issuer_public_key(public),
            critical=False,
        )
        .sign(private, algorithm=None)
    )
    return (
        certificate.public_bytes(serialization.Encoding.PEM),
        private.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )
