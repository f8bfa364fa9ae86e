"""Objects of the configuration and their options.

Each class lists what ``CREATE`` and ``ALTER`` set for one object type; a
field without a default is required.
"""

import typing

import pydantic

_PositiveNumber = typing.Annotated[float, pydantic.Field(gt=0)]
_Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
_Path = typing.Annotated[str, pydantic.Field(pattern=r'^/')]


class Service(typing.NamedTuple):
    """A model service or a plain service.

    Parameters
    ----------
    kind : {'model', 'plain'}
        Which interface callers use.
    idempotent : bool
        Whether calls may be retried.  If not, callers must send an
        ``Idempotency-Key`` with every unsafe method.
    status_path : str
        Path at the backend server, with ``{key}``, to query the answer to the
        call with a key; empty if the server has none.
    refusal_status : int
        HTTP status of calls that were refused and not run; 0 for none.
    """

    kind: typing.Literal['model', 'plain']
    idempotent: bool = True
    status_path: str = ''
    refusal_status: int = 0


class Organisation(typing.NamedTuple):
    """A customer whose callers use the system.

    Parameters
    ----------
    salt, token_hash : str
        Salted hash of the bearer token.
    requests_per_s : float
        Rate limit over all nodes.
    requests_in_flight : int
        Limit of concurrent requests over all nodes.
    """

    salt: str
    token_hash: str
    requests_per_s: _PositiveNumber = 100.0
    requests_in_flight: typing.Annotated[int, pydantic.Field(ge=1)] = 1000


class Backend(typing.NamedTuple):
    """A backend server and the VM that it runs on.

    Parameters
    ----------
    service : str
        Service that it belongs to.
    host, port : str and int
        Address that it listens on.
    zone, vm, vm_class : str
        Data centre, VM and price class.
    price : float
        Price of the VM per hour.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
    prefill_tokens_per_s : float
        Expected speed until it has been measured; model engines only.
    slots : int
        Expected batch size; model engines only.
    state : {'serving', 'draining', 'retired'}
        Set by ``DRAIN`` and ``RETIRE``.
    model : str
        Model for the engine to load, set by ``LOAD MODEL``; empty leaves the
        engine unchanged.
    """

    service: str
    host: str
    port: _Port
    zone: str
    vm: str = ''
    vm_class: str = 'on-demand'
    price: _PositiveNumber = 1.0
    checks_fencing: bool = False
    prefill_tokens_per_s: _PositiveNumber = 8000.0
    slots: typing.Annotated[int, pydantic.Field(ge=1)] = 64
    state: typing.Literal['serving', 'draining', 'retired'] = 'serving'
    model: str = ''


class PlacementRule(typing.NamedTuple):
    """Constraints on where the VMs of a service run.

    Parameters
    ----------
    service : str
        Service that the rule applies to.
    minimum_zones : int
        Minimum number of data centres.
    reclaimable_share : float
        Maximum share of reclaimable VMs.
    """

    service: str
    minimum_zones: typing.Annotated[int, pydantic.Field(ge=1)] = 2
    reclaimable_share: typing.Annotated[float, pydantic.Field(ge=0, le=1)] = (
        0.5
    )


class Operator(typing.NamedTuple):
    """An operator's account."""

    salt: str
    token_hash: str


class Grant(typing.NamedTuple):
    """A privilege; ``service`` is empty for the whole system."""

    privilege: str
    service: str
    grantee_type: str
    grantee: str
