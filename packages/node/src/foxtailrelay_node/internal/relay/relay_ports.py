"""The interfaces between a relay node and its platform."""

import typing

from foxtailrelay_node.internal.relay.backends import instance_report
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay.duties import duty_platform
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.rollouts import version_change
from foxtailrelay_node.internal.relay.state import topic_store
from foxtailrelay_node.internal.relay import wire_format


class RelayPorts(typing.NamedTuple):
    """One implementation of each interface, and the names of topics.

    Parameters
    ----------
    store : TopicStore
        The platform's store.
    wire : WireFormat
        Headers of requests and answers.
    report_format : ReportFormat
        Format of backend servers' reports.
    configuration_decoder : ConfigurationDecoder
        Format of the configuration.
    server_decoder : ServerDecoder
        Format of the list of servers.
    duties : DutyPlatform
        Calls that only the holder of the lease makes.
    configuration_topic, server_topic : str
        Keyed topics that operators and backend servers write.
    node_topic : str
        Keyed topic of the nodes' addresses, written by the nodes.
    spend_topic : str
        Keyed topic of what organisations spent, written by the nodes.
    duty_topic : str
        Plain topic of leases and usage reports, written by the nodes.
    rollout_format : RolloutFormat or None
        Format of ordered version changes and of their states.
    status_topic : str
        Keyed topic of these states, written by the holder of the lease.
    """

    store: topic_store.TopicStore
    wire: wire_format.WireFormat
    report_format: instance_report.ReportFormat
    configuration_decoder: node_state.ConfigurationDecoder
    server_decoder: server_list.ServerDecoder
    duties: duty_platform.DutyPlatform
    configuration_topic: str
    server_topic: str
    node_topic: str
    spend_topic: str
    duty_topic: str
    rollout_format: version_change.RolloutFormat | None = None
    status_topic: str = ''
