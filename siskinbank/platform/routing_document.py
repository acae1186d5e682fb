"""Reading of the operator's configuration for a check before it is sent.

Unlike ``records.decode_configuration``, by which processes read it, this reports
all problems with their places. Both use the same functions for each field, so
that they accept the same documents. No siskinbank process imports this module.
"""

from __future__ import annotations

import json
from _socket import AF_INET, inet_ntop
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Final, TypeVar

from pydantic import (
    BaseModel,
    ConfigDict,
    ValidationError,
    ValidationInfo,
    alias_generators,
    field_validator,
    model_validator,
)

from siskinbank.config.check import add_validation_errors
from siskinbank.config.documents import Document, KeyPath, parse_document
from siskinbank.config.routing import (
    Backend,
    LocateField,
    RouteEntry,
    RoutingTable,
    ServiceEntry,
)
from siskinbank.kernel.findings import Findings, Place
from siskinbank.platform.documents import (
    DocumentError,
    decode,
    integer_field,
    number_field,
    text_field,
)
from siskinbank.platform.records import (
    DEFAULT_TIMEOUT_MS,
    MAX_PRIORITY,
    decode_configuration,
    pack_ip,
    route_port,
)

__all__ = ('load_routing',)

_Value = TypeVar('_Value')

# Fields of the document by the attributes of the project's types.
_TABLE_FIELDS = {'version': ('Version',)}
_ROUTE_FIELDS = {
    'address': ('Host',),
    'port': ('Prefix',),
    'priority': ('Priority',),
    'target_latency_ms': ('TargetLatencyMs',),
    'timeout_ms': ('TimeoutMs',),
}
_BACKEND_FIELDS = {'service': ('Service',), 'weight': ('Weight',)}
_SERVICE_FIELDS = {
    'cold_requests_per_s': ('WarmupPerS',),
    'name': ('Name',),
    'warm_up_s': ('WarmupS',),
}
# A validator in this mode replaces that of the type.
_PLAIN: Final = 'plain'
_IDLE_TIMEOUT = 'IdleTimeoutMs'
_MESSAGES = {
    'list_type': ('not a list', 'write a list of objects'),
    'missing': ('missing', 'add it'),
    'model_type': ('not an object', 'write an object'),
}


class _Model(BaseModel):
    """A part of the document; fields that processes don't read are ignored.

    The types are those after validation, which is left to the functions that
    the processes use.
    """

    model_config = ConfigDict(
        alias_generator=alias_generators.to_pascal, frozen=True
    )


class _BackendModel(_Model):
    service: str
    weight: float = 0

    @field_validator('service', mode=_PLAIN)
    @classmethod
    def _read_text(cls, value: Any, info: ValidationInfo) -> str:
        return _read(text_field, value, info)

    @field_validator('weight', mode=_PLAIN)
    @classmethod
    def _read_number(cls, value: Any, info: ValidationInfo) -> float:
        return _read_optional_number(value, info)


class _RouteModel(_Model):
    host: str
    prefix: int
    service: str | None = None
    weighted_backends: list[_BackendModel]
    timeout_ms: float = DEFAULT_TIMEOUT_MS
    target_latency_ms: float | None = None
    priority: float = 0
    kind: Any = None
    name: Any = None

    @model_validator(mode='before')
    @classmethod
    def _ignore_backends(cls, row: Any) -> Any:
        # Processes don't read the list if the route states a single service.
        if isinstance(row, dict) and 'Service' in row:
            return {**row, 'WeightedBackends': []}
        return row

    @field_validator('host', mode=_PLAIN)
    @classmethod
    def _read_host(cls, value: Any, info: ValidationInfo) -> str:
        return inet_ntop(AF_INET, pack_ip(_read(text_field, value, info)))

    @field_validator('prefix', mode=_PLAIN)
    @classmethod
    def _read_prefix(cls, value: Any, info: ValidationInfo) -> int:
        return route_port(_read(text_field, value, info))

    @field_validator('service', mode=_PLAIN)
    @classmethod
    def _read_text(cls, value: Any, info: ValidationInfo) -> str:
        return _read(text_field, value, info)

    @field_validator('timeout_ms', 'target_latency_ms', 'priority', mode=_PLAIN)
    @classmethod
    def _read_number(cls, value: Any, info: ValidationInfo) -> float:
        return _read_optional_number(value, info)


class _ServiceModel(_Model):
    name: str
    warmup_per_s: float = 0
    warmup_s: float = 0
    health_path: Any = None

    @field_validator('name', mode=_PLAIN)
    @classmethod
    def _read_text(cls, value: Any, info: ValidationInfo) -> str:
        return _read(text_field, value, info)

    @field_validator('warmup_per_s', 'warmup_s', mode=_PLAIN)
    @classmethod
    def _read_number(cls, value: Any, info: ValidationInfo) -> float:
        return _read_optional_number(value, info)


class _DocumentModel(_Model):
    version: int
    routes: list[_RouteModel]
    services: list[_ServiceModel]
    # Processes do without a limit that is malformed, so that it is not refused.
    limits: Any = None

    @field_validator('version', mode=_PLAIN)
    @classmethod
    def _read_version(cls, value: Any, info: ValidationInfo) -> int:
        return _read(integer_field, value, info)


def load_routing(
    file: str,
    findings: Findings,
    warnings: Findings,
) -> RoutingTable | None:
    """Read a routing configuration.

    Args:
        file: the name of the file with the JSON document.
        findings: collects everything for which processes reject the document.
        warnings: collects parts of the document that processes don't read as
            they stand; the rules of ``siskinbank.config.routing`` add others.

    Returns:
        The configuration, or None when findings were added.
    """
    raw = _read_file(file, findings)
    document = None if raw is None else _decode(file, raw, findings)
    if raw is None or document is None:
        return None
    # A document that is not YAML, like one with escaped surrogates, has no lines:
    # all values are at line 1.
    source = parse_document(file, raw.decode(), Findings())
    try:
        model = _DocumentModel.model_validate(document)
    except ValidationError as error:
        add_validation_errors(error, source.place, findings, _MESSAGES)
        return None
    try:
        decode_configuration(raw)
    except DocumentError as error:
        # A rule of the processes that the models don't have.
        findings.add(Place(file), str(error), 'correct it')
        return None
    _add_unread_backends(document, source, warnings)
    return _Translator(source, warnings).table(model)


def _read_file(file: str, findings: Findings) -> bytes | None:
    try:
        return Path(file).read_bytes()
    except OSError as error:
        findings.add(
            Place(file),
            f'cannot be read ({error.strerror or error})',
            'specify a readable file',
        )
        return None


def _decode(
    file: str,
    raw: bytes,
    findings: Findings,
) -> dict[str, Any] | None:
    """Decode a document as processes do, None when a finding was added."""
    try:
        return decode(raw)
    except DocumentError as error:
        line, problem = _find_syntax_error(raw.decode(errors='replace'))
        findings.add(
            Place(file, line),
            f'invalid JSON ({problem})' if problem else str(error),
            'write one JSON object in UTF-8',
        )
        return None


def _find_syntax_error(text: str) -> tuple[int, str]:
    """Return line and problem of a text that isn't JSON.

    The problem is empty if nothing is known of it, as of a name that occurs twice.
    """
    body = text.strip()
    try:
        json.loads(body)
    except json.JSONDecodeError as error:
        skipped = text[: text.index(body)]
        return skipped.count('\n') + error.lineno, error.msg
    except (ValueError, RecursionError):
        # Numbers with too many digits, and values that are nested too deeply.
        return 1, ''
    return 1, ''


def _add_unread_backends(
    document: dict[str, Any],
    source: Document,
    warnings: Findings,
) -> None:
    for index, route in enumerate(document['Routes']):
        if 'Service' in route and 'WeightedBackends' in route:
            warnings.add(
                source.place(('Routes', index, 'WeightedBackends')),
                'warning: has no effect, as the route states Service',
                'remove one of the two',
            )


class _Translator:
    """Translates a validated document into the project's types."""

    def __init__(self, source: Document, warnings: Findings) -> None:
        """Create a translator.

        Args:
            source: the lines of the values.
            warnings: collects limits that are not numbers.
        """
        self._source = source
        self._warnings = warnings

    def table(self, model: _DocumentModel) -> RoutingTable:
        """Return the routing configuration of a document."""
        return RoutingTable(
            model.version,
            tuple(
                self._route(route, index)
                for index, route in enumerate(model.routes)
            ),
            tuple(
                self._service(service, index)
                for index, service in enumerate(model.services)
            ),
            self._idle_timeout_ms(model.limits),
            MAX_PRIORITY,
            self._locator((), _TABLE_FIELDS),
        )

    def _route(self, model: _RouteModel, index: int) -> RouteEntry:
        path: KeyPath = ('Routes', index)
        if model.service is None:
            backends_field = 'WeightedBackends'
            backends = self._backends(model, (*path, backends_field))
        else:
            backends_field = 'Service'
            place = self._locator(
                path, dict.fromkeys(_BACKEND_FIELDS, (backends_field,))
            )
            backends = (Backend(model.service, 1, place),)
        return RouteEntry(
            model.host,
            model.prefix,
            backends,
            model.timeout_ms,
            model.target_latency_ms,
            int(model.priority),
            _text(model.kind),
            _text(model.name),
            self._locator(
                path, {**_ROUTE_FIELDS, 'backends': (backends_field,)}
            ),
        )

    def _backends(
        self,
        model: _RouteModel,
        path: KeyPath,
    ) -> tuple[Backend, ...]:
        return tuple(
            Backend(
                backend.service,
                backend.weight,
                self._locator((*path, index), _BACKEND_FIELDS),
            )
            for index, backend in enumerate(model.weighted_backends)
        )

    def _service(self, model: _ServiceModel, index: int) -> ServiceEntry:
        return ServiceEntry(
            model.name,
            model.warmup_per_s,
            model.warmup_s,
            _text(model.health_path),
            self._locator(('Services', index), _SERVICE_FIELDS),
        )

    def _idle_timeout_ms(self, limits: Any) -> float | None:
        """Return the idle timeout, None if there is none to compare with."""
        if not isinstance(limits, dict) or _IDLE_TIMEOUT not in limits:
            return None
        try:
            return number_field(limits, _IDLE_TIMEOUT, 0)
        except DocumentError as error:
            self._warnings.add(
                self._source.place(('Limits', _IDLE_TIMEOUT)),
                f'warning: {error}, so no timeout is compared with it',
                'state a number of milliseconds',
            )
            return None

    def _locator(
        self,
        path: KeyPath,
        fields: Mapping[str, KeyPath],
    ) -> LocateField:
        def locate(field: str) -> Place:
            return self._source.place((*path, *fields.get(field, ())))

        return locate


def _read(
    reader: Callable[[dict[str, object], str], _Value],
    value: Any,
    info: ValidationInfo,
) -> _Value:
    """Read a field with the function by which processes read it."""
    name = _field_name(info)
    return reader({name: value}, name)


def _read_optional_number(value: Any, info: ValidationInfo) -> float:
    name = _field_name(info)
    return number_field({name: value}, name, 0)


def _field_name(info: ValidationInfo) -> str:
    """Return the name of a field in the document."""
    return alias_generators.to_pascal(str(info.field_name))


def _text(value: Any) -> str:
    """Return a text that processes don't validate, empty if it is none."""
    return value if isinstance(value, str) else ''
