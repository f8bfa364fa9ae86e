"""The objects of the configuration and the options they take.

Each class is what ``CREATE`` and ``ALTER`` set for one type of object; a
field without a default must be given.
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
        Whether calls may be repeated.  Where not, callers must send an
        ``Idempotency-Key`` with every unsafe method.
    status_path : str
        Path at the backend server that tells by key whether a call ran,
        with ``{key}``; empty when it cannot be asked.
    refusal_status : int
        HTTP status by which backend servers definitely refuse; 0 for none.
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
    """A backend server, and the VM that it stands on.

    Parameters
    ----------
    service : str
        Which service it serves.
    host, port : str and int
        Where it listens.
    zone, vm, vm_class : str
        Data centre, VM and price class.
    price : float
        Price of the VM for an hour.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
    prefill_tokens_per_s : float
        Expected speed until it has been measured; model engines only.
    slots : int
        Expected batch size; model engines only.
    state : {'serving', 'draining', 'retired'}
        Set by ``DRAIN`` and ``RETIRE``.
    model : str
        Model that the engine shall have loaded, set by ``LOAD MODEL``; empty
        leaves the engine as it is.
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
    """Where the VMs of a service may stand.

    Parameters
    ----------
    service : str
        The service it rules.
    minimum_zones : int
        Spread over at least so many data centres.
    reclaimable_share : float
        Largest share of reclaimable VMs.
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
