"""How long the measured speed of a plain server is trusted."""

import math

# Bounds of a server's speed, as multiples of the service's usual one.
MIN_SPEED = 0.1
MAX_SPEED = 4.0
# A measurement is trusted less the longer a server got no request, both in
# time and in requests of the service for each of its servers.  The requests
# bound the share that a slow server gets, from a node that sends few of them
# too: nodes do not tell each other what they measured.
_LIFETIME_S = 10.0
_LIFETIME_REQUESTS = 20
# Requests whose target a slow server would miss trust a measurement for
# longer by this factor.
_LATE_LIFETIME_FACTOR = 6.0
# A server that got no request for long is expected to be faster than the
# fastest by this factor; without it, equal servers that are never full would
# leave it unmeasured.
OPTIMISM = 1.25
# Age from which a speed is corrected, and a new measurement counts more than
# it.  Corrections of servers that were used a moment ago make nodes choose the
# same ones, and fill slow ones when the others are busy.
_MIN_AGE = 0.5


def age(unused_s: float, other_requests: int, server_count: int) -> float:
    """Return the age of a measurement in lifetimes.

    Parameters
    ----------
    unused_s : float
        Seconds since this node last sent the server a request.
    other_requests : int
        Requests that it sent to other servers of the service since then.
    server_count : int
        Servers of the service.

    Examples
    --------
    >>> age(5.0, 1000, 4)
    0.5
    >>> age(60.0, 8, 4)
    0.1
    """
    by_time = unused_s / _LIFETIME_S
    by_requests = other_requests / (_LIFETIME_REQUESTS * server_count)
    return by_time if by_time < by_requests else by_requests


def expected(
    measured: float,
    unmeasured: float,
    speed_age: float,
    slowest_s: float,
    target_s: float,
    remaining_s: float,
) -> float:
    """Return the speed to expect of a server for one request.

    Designed for servers that were slow for a while and whose speed only a
    request can show, with 0.05 to 50 requests a second from each of up to 350
    nodes.  The request that finds the server still slow should not be the one
    that its caller can't wait for.

    Parameters
    ----------
    measured, unmeasured : float
        Speed that was measured of the server, and the one to expect of a
        server that was not measured for long.
    speed_age : float
        Age of the measurement in lifetimes.
    slowest_s : float
        Seconds to an answer if the server is as slow as any.
    target_s, remaining_s : float
        Seconds until the latency target, and until the deadline.
    """
    if speed_age < _MIN_AGE or slowest_s > remaining_s:
        return measured
    if slowest_s > target_s:
        speed_age /= _LATE_LIFETIME_FACTOR
    return unmeasured + (measured - unmeasured) * math.exp(-speed_age)


def update(speed: float, ratio: float, speed_age: float) -> float:
    """Return a speed after a ratio of expected to measured time."""
    weight, max_ratio = (0.2, 2.0) if speed_age < _MIN_AGE else (0.6, 8.0)
    sample = speed * min(max_ratio, max(0.5, ratio))
    return min(MAX_SPEED, max(MIN_SPEED, speed + weight * (sample - speed)))
