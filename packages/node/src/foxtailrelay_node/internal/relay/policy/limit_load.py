"""The load that organisations' limits allow, before any traffic."""

import typing

from foxtailrelay_node.internal.relay.catalogue import organisation
from foxtailrelay_node.internal.relay.catalogue import service as services


def limit_tokens_per_s(
    organisations: typing.Iterable[organisation.Organisation],
    service_list: typing.Iterable[services.Service],
) -> float:
    """Return the tokens per second that limits allow one model service.

    Designed for organisations most of which have a limit in tokens.  Which
    service they will use is not known before the traffic, so the limits are
    divided equally between the services whose engines may be ordered.

    Parameters
    ----------
    organisations : iterable of Organisation
        The organisations, each as often as it has keys.
    service_list : iterable of Service
        All services.

    Returns
    -------
    float
        0 if no organisation has a limit in tokens.
    """
    rate_by_name = {
        o.name: o.rate_per_s for o in organisations if o.counts_tokens
    }
    count = sum(
        s.scaling is not None and s.model is not None for s in service_list
    )
    return sum(rate_by_name.values()) / max(1, count)
