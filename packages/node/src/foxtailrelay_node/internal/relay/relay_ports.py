"""The ports through which a relaying node reaches its platform."""

import typing

from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay.duties import duty_platform
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.state import topic_store
from foxtailrelay_node.internal.relay import wire_format


class RelayPorts(typing.NamedTuple):
    """One implementation of each port, and the names of topics.

    Parameters
    ----------
    source : RecordSource
        The store.
    wire : WireFormat
        Headers of requests and answers.
    configurations : ConfigurationDecoder
        Form of the configuration.
    servers : ServerDecoder
        Form of the list of servers.
    duties : DutyPlatform
        Calls that one node makes for all.
    configuration_topic, server_topic : str
        Keyed topics that operators and backend servers write.
    node_topic : str
        Keyed topic of this project's: where nodes listen.
    duty_topic : str
        Plain topic of this project's: leases and reports.
    """

    store: topic_store.TopicStore
    wire: wire_format.WireFormat
    configuration_decoder: node_state.ConfigurationDecoder
    server_decoder: server_list.ServerDecoder
    duties: duty_platform.DutyPlatform
    configuration_topic: str
    server_topic: str
    node_topic: str
    duty_topic: str
