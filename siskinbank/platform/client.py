"""Read and watch the platform's configuration service over HTTP."""

import json
from typing import Any

import aiohttp
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from siskinbank.config.sections import Manifest
from siskinbank.platform.live import Instance, parse_instances
from siskinbank.util import hex_digest

__all__ = ('PlatformClient', 'PlatformError')

MAX_VALUE_BYTES = 1024 * 1024
_READ_SECONDS = 5
_WATCH_SECONDS = 30


class PlatformError(Exception):
    """The platform did not answer, or not with what it should."""


class _ManifestModel(BaseModel):
    model_config = ConfigDict(extra='ignore')

    generation: int = Field(ge=0)
    sections: dict[str, str]


class PlatformClient:
    """One process's connection to the platform; it only reads."""

    def __init__(self, url: str) -> None:
        """Read from the service at ``url``."""
        self._url = url.rstrip('/')
        self._session: aiohttp.ClientSession | None = None

    async def manifest(self) -> Manifest:
        """Return the published generation and digests.

        Raises:
            PlatformError: no valid answer.
        """
        return _parse_manifest(await self._get('/v1/manifest'))

    async def watch(self, after: int) -> Manifest:
        """Wait for a generation other than ``after``, or for the time-out.

        Raises:
            PlatformError: no valid answer.
        """
        path = f'/v1/manifest?after={after}&wait={_WATCH_SECONDS}'
        raw = await self._get(path, _WATCH_SECONDS + _READ_SECONDS)
        return _parse_manifest(raw)

    async def section(self, name: str, digest: str) -> Any:
        """Return one parsed section that has this digest.

        Raises:
            PlatformError: no answer, or another content.
        """
        raw = await self._get(f'/v1/sections/{name}')
        if hex_digest(raw) != digest:
            raise PlatformError(f'section {name} has another digest')
        try:
            return json.loads(raw)
        except ValueError as error:
            raise PlatformError(f'section {name} is not JSON') from error

    async def instances(self) -> list[Instance]:
        """Return the live list.

        Raises:
            PlatformError: no valid answer.
        """
        raw = await self._get('/v1/instances')
        try:
            return parse_instances(raw)
        except ValueError as error:
            raise PlatformError(str(error)) from error

    async def close(self) -> None:
        """Close the connection."""
        if self._session is not None:
            await self._session.close()

    async def _get(self, path: str, seconds: float = _READ_SECONDS) -> bytes:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        timeout = aiohttp.ClientTimeout(total=seconds)
        url = f'{self._url}{path}'
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                answer.raise_for_status()
                raw = await _read_bounded(answer.content)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = str(error) or type(error).__name__
            raise PlatformError(f'{path}: {reason}') from error
        if len(raw) > MAX_VALUE_BYTES:
            raise PlatformError(f'{path}: more than {MAX_VALUE_BYTES} bytes')
        return raw


async def _read_bounded(content: aiohttp.StreamReader) -> bytes:
    """Read up to one byte more than a value may have."""
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
