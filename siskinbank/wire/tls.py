"""Mutual TLS authentication between siskinbank processes.

Each shared key has one self-signed certificate. Its Ed25519 private key is
derived from the shared key with keyed BLAKE2b, and nothing else in the
certificate varies. So every process creates the same certificate from the same
key. A process trusts only the certificates of the currently valid keys, and its
own certificate proves that it has one of these keys.
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

_SEED_PERSON = b'siskinbank-tls'
_SEED_BYTES = 32
_COMMON_NAME = 'siskinbank'
_NOT_BEFORE = datetime.datetime.fromisoformat('2000-01-01T00:00:00Z')
#: Latest date that a certificate can hold (RFC 5280, section 4.1.2.5).
_NOT_AFTER = datetime.datetime.fromisoformat('9999-12-31T23:59:59Z')

RefusalHandler = Callable[[str], None]


class _ServerObject(ssl.SSLObject):
    """Server side of one connection, which reports a failed handshake."""

    on_refusal: RefusalHandler | None = None

    def do_handshake(self) -> None:
        """Continue the handshake.

        Raises:
            ssl.SSLError: more bytes are needed, or the peer is refused.
        """
        try:
            super().do_handshake()
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            raise
        except ssl.SSLError as error:
            if self.on_refusal is not None:
                self.on_refusal(error.reason or 'no TLS')
            raise


class _ReloadingContext(ssl.SSLContext):
    """Server context that uses the current keys for each connection."""

    security: 'StreamSecurity'

    def wrap_bio(self, *given: Any, **options: Any) -> ssl.SSLObject:
        """Return the TLS object of one connection."""
        context = self.security.current_server()
        wrapped = context.wrap_bio(*given, **options)
        assert isinstance(wrapped, _ServerObject)
        wrapped.on_refusal = self.security.on_refusal
        return wrapped


class StreamSecurity:
    """The TLS contexts of one process, created from its key ring."""

    def __init__(self, keys: KeyRing) -> None:
        """Initialize for ``keys``; contexts are recreated when they change."""
        self._keys = keys
        self._context_keys: tuple[Key, ...] = ()
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
        """Return a context to listen with; it uses the current keys."""
        context = _ReloadingContext(ssl.PROTOCOL_TLS_SERVER)
        context.security = self
        return context

    def current_server(self) -> ssl.SSLContext:
        """Return the server context for the currently valid keys."""
        self._refresh()
        assert self._server is not None
        return self._server

    def key_of(self, certificate: bytes | None) -> Key | None:
        """Return the valid key of a certificate in DER, or None."""
        for key in self._keys.keys:
            own = ssl.PEM_cert_to_DER_cert(certificate_of(key)[0].decode())
            if own == certificate:
                return key
        return None

    def _refresh(self) -> None:
        if self._context_keys == self._keys.keys:
            return
        self._server = _make_context(ssl.PROTOCOL_TLS_SERVER, self._keys.keys)
        self._server.sslobject_class = _ServerObject
        self._server.num_tickets = 0
        self._client = _make_context(ssl.PROTOCOL_TLS_CLIENT, self._keys.keys)
        self._context_keys = self._keys.keys


def _ignore(_reason: str) -> None:
    """Ignore a refusal; the default handler."""


def _make_context(protocol: int, keys: tuple[Key, ...]) -> ssl.SSLContext:
    """Return a context that presents the first key's certificate.

    Only the certificates of the given keys are trusted.
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
    """Load a certificate from memory; the library reads files only."""
    descriptor = os.memfd_create('certificate', os.MFD_CLOEXEC)
    with contextlib.closing(os.fdopen(descriptor, 'wb')) as stream:
        stream.write(certificate + private_key)
        stream.flush()
        context.load_cert_chain(f'/proc/self/fd/{descriptor}')


@functools.lru_cache(maxsize=4)
def certificate_of(key: Key) -> tuple[bytes, bytes]:
    """Return the certificate and private key of a shared key, both in PEM."""
    # Imported on first use to save memory in commands without streams.
    from cryptography import x509
    from cryptography.hazmat.primitives import serialization
    from cryptography.hazmat.primitives.asymmetric import ed25519

    seed = hashlib.blake2b(
        key=key.secret,
        person=_SEED_PERSON,
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
        .not_valid_before(_NOT_BEFORE)
        .not_valid_after(_NOT_AFTER)
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
