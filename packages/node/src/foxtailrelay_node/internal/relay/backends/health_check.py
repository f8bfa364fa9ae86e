"""What a backend server says of its health."""

import enum


class HealthCheck(enum.Enum):
    """Result of a health check."""

    HEALTHY = 'the process is healthy and is not leaving'
    UNHEALTHY = 'the process is leaving or not healthy'
    UNKNOWN = 'the process does not say whether it is healthy'
