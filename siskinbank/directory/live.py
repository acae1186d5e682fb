"""The platform's live list of instances; it may be out of date."""

import enum
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, TypeAdapter, ValidationError

from siskinbank.config.models import IpAddress, Name, Port
from siskinbank.config.site import Address

__all__ = ('Instance', 'InstanceState', 'Role', 'parse_instances')


class Role(enum.StrEnum):
    """The kind of process that an instance runs."""

    entry = 'entry'
    sidecar = 'sidecar'


class InstanceState(enum.StrEnum):
    """The state of an instance in the live list."""

    live = 'live'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class Instance:
    """One line of the live list."""

    name: str
    role: Role
    data_centre: str
    address: Address
    state: InstanceState = InstanceState.live


class _InstanceModel(BaseModel):
    model_config = ConfigDict(extra='ignore')

    name: Name
    role: Role
    data_centre: Name
    address: IpAddress
    port: Port
    state: InstanceState = InstanceState.live


_LIST = TypeAdapter(list[_InstanceModel])


def parse_instances(raw: bytes) -> list[Instance]:
    """Parse the published live list.

    Raises:
        ValueError: the list is malformed.
    """
    try:
        models = _LIST.validate_json(raw)
    except ValidationError as error:
        raise ValueError(
            f'bad live list: {error.error_count()} errors'
        ) from error
    return [
        Instance(
            model.name,
            model.role,
            model.data_centre,
            (model.address, model.port),
            model.state,
        )
        for model in models
    ]
