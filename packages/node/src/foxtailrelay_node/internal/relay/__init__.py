"""Relays HTTP requests by route to a changing set of backend servers.

The packages: ``catalogue`` (routes, services, organisations), ``backends``
(servers and their load), ``http`` (connections to callers and backend
servers), ``policy`` (placement, limits and scaling: functions on plain
values), ``dispatch`` (placement by one node for all), ``attempts`` (requests
to backend servers), ``peers`` (gossip between nodes), ``duties`` (tasks of
the node that holds the lease), ``state`` (data read from the platform) and
``assembly`` (construction of a node).
"""
