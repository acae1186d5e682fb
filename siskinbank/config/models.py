"""Validation models of the configuration documents."""

import ipaddress
from typing import Annotated, Any

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from siskinbank.config.site import CentreState, HostState

__all__ = (
    'CentreModel',
    'ColdLimitsModel',
    'DocumentModel',
    'EndpointModel',
    'HostModel',
    'ServiceModel',
)

_NAME_PATTERN = '^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$'
_MAX_PORT = 65535
_MAX_CONNECTIONS = 1_000_000
_MAX_SLOTS = 100_000
_MAX_WARM_UP_SECONDS = 86_400
_MAX_WEIGHT = 1000


def _check_ip(text: str) -> str:
    ipaddress.IPv4Address(text)
    return text


Name = Annotated[str, Field(pattern=_NAME_PATTERN)]
IpAddress = Annotated[str, AfterValidator(_check_ip)]
Port = Annotated[int, Field(ge=1, le=_MAX_PORT)]


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class EndpointModel(_StrictModel):
    """The address of a service at one ingress."""

    address: IpAddress = '0.0.0.0'
    port: Port


class ColdLimitsModel(_StrictModel):
    """The limits of a host right after its start, and its warm-up time."""

    connections: Annotated[int, Field(ge=1, le=_MAX_CONNECTIONS)]
    slots: Annotated[int, Field(ge=1, le=_MAX_SLOTS)]
    warm_up_seconds: Annotated[float, Field(ge=0, le=_MAX_WARM_UP_SECONDS)]


class HostModel(_StrictModel):
    """An upstream and its sidecar."""

    data_centre: Name
    address: IpAddress
    port: Port
    weight: Annotated[float, Field(gt=0, le=_MAX_WEIGHT)] = 1
    state: HostState = HostState.active


class ServiceModel(_StrictModel):
    """A service and its pool of hosts."""

    ingress: Annotated[dict[Name, EndpointModel], Field(min_length=1)]
    connections: Annotated[int, Field(ge=1, le=_MAX_CONNECTIONS)] = 2000
    slots: Annotated[int, Field(ge=1, le=_MAX_SLOTS)] = 3
    cold: ColdLimitsModel
    hosts: dict[Name, HostModel] = {}


class CentreModel(_StrictModel):
    """A data centre of a site."""

    region: Name = 'main'
    state: CentreState = CentreState.in_service


class DocumentModel(_StrictModel):
    """The effective document: a base file merged with its overlays."""

    site: Name
    data_centres: Annotated[dict[Name, CentreModel], Field(min_length=1)]
    services: dict[Name, ServiceModel] = {}


Raw = dict[str, Any]
