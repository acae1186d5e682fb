"""Read and watch the platform's configuration service over HTTP."""

from http import HTTPStatus
from typing import Any

import aiohttp
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from siskinbank.config.sections import Manifest
from siskinbank.directory.live import Instance, parse_instances
from siskinbank.util import hex_digest

__all__ = ('PlatformClient', 'PlatformError')

MAX_VALUE_BYTES = 1024 * 1024
_READ_TIMEOUT_SECONDS = 5
_LIST_PATH = '/v1/instances'
_WATCH_SECONDS = 30


class PlatformError(Exception):
    """The platform did not answer, or sent an invalid answer."""


class _ManifestModel(BaseModel):
    model_config = ConfigDict(extra='ignore')

    generation: int = Field(ge=0)
    sections: dict[str, str]


class PlatformClient:
    """A read-only client of the platform.

    Attributes:
        list_transfer_bytes: size of the last transfer of the live list; 0 if
            the list was unchanged.
    """

    def __init__(self, url: str) -> None:
        """Initialize with the service's URL; connects at the first read."""
        self._url = url.rstrip('/')
        self._session: aiohttp.ClientSession | None = None
        self._instances: list[Instance] | None = None
        self._list_tag = ''
        self.list_transfer_bytes = 0

    async def manifest(self) -> Manifest:
        """Return the published generation and digests.

        Raises:
            PlatformError: there was no valid answer.
        """
        return _parse_manifest(await self._get('/v1/manifest') or b'')

    async def watch(self, after: int) -> Manifest:
        """Wait for a generation other than ``after``, or for the timeout.

        Raises:
            PlatformError: there was no valid answer.
        """
        path = f'/v1/manifest?after={after}&wait={_WATCH_SECONDS}'
        raw = await self._get(path, _WATCH_SECONDS + _READ_TIMEOUT_SECONDS)
        return _parse_manifest(raw or b'')

    async def section(self, name: str, digest: str) -> bytes:
        """Return the bytes of the section with this digest.

        Raises:
            PlatformError: there was no answer, or the digest differs.
        """
        raw = await self._get(f'/v1/sections/{name}') or b''
        if hex_digest(raw) != digest:
            raise PlatformError(f'section {name} does not match its digest')
        return raw

    async def instances(self) -> list[Instance]:
        """Return the live list; it is parsed only if it has changed.

        Raises:
            PlatformError: there was no valid answer.
        """
        raw = await self._get(_LIST_PATH, tag=self._list_tag)
        if raw is None and self._instances is not None:
            self.list_transfer_bytes = 0
            return self._instances
        try:
            self._instances = parse_instances(raw or b'')
        except ValueError as error:
            raise PlatformError(str(error)) from error
        return self._instances

    async def close(self) -> None:
        """Close the connection."""
        if self._session is not None:
            await self._session.close()

    async def _get(
        self,
        path: str,
        seconds: float = _READ_TIMEOUT_SECONDS,
        tag: str | None = None,
    ) -> bytes | None:
        """Return a value, or None if it still has the entity tag ``tag``."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        options: dict[str, Any] = {
            'timeout': aiohttp.ClientTimeout(total=seconds),
            'headers': {'If-None-Match': tag} if tag else {},
        }
        url = f'{self._url}{path}'
        try:
            async with self._session.get(url, **options) as response:
                if tag and response.status == HTTPStatus.NOT_MODIFIED:
                    return None
                response.raise_for_status()
                raw = await _read_bounded(response.content)
                if path == _LIST_PATH:
                    self._record_list_response(response, raw)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = str(error) or type(error).__name__
            raise PlatformError(f'{path}: {reason}') from error
        if len(raw) > MAX_VALUE_BYTES:
            raise PlatformError(f'{path}: more than {MAX_VALUE_BYTES} bytes')
        return raw

    def _record_list_response(
        self, response: aiohttp.ClientResponse, raw: bytes
    ) -> None:
        """Store the list's entity tag and transfer size."""
        self._list_tag = response.headers.get('ETag', '')
        self.list_transfer_bytes = response.content_length or len(raw)


async def _read_bounded(content: aiohttp.StreamReader) -> bytes:
    """Read at most one byte more than the size limit of a value."""
    raw = bytearray()
    while not content.at_eof() and len(raw) <= MAX_VALUE_BYTES:
        raw += await content.read(MAX_VALUE_BYTES + 1 - len(raw))
    return bytes(raw)


def _parse_manifest(raw: bytes) -> Manifest:
    try:
        model = _ManifestModel.model_validate_json(raw)
    except ValidationError as error:
        raise PlatformError('bad manifest') from error
    return Manifest(model.generation, model.sections)
