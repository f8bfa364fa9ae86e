"""Messages between nodes, and their Cap'n Proto encoding.

A frame is a four-byte big-endian length and one packed ``Envelope``::

    data = messages.encode(7, messages.FetchConfig(from_offset=12))
    assert messages.decode(data) == (7, messages.FetchConfig(12))
"""

from foxtailrelay_core.internal import frame_stream
from foxtailrelay_core.internal import message_codec
from foxtailrelay_core.internal import message_types
from foxtailrelay_core.internal import traffic_count

PROTOCOL_VERSION = message_types.PROTOCOL_VERSION

Challenge = message_types.Challenge
ConfigRecord = message_types.ConfigRecord
ConfigRecords = message_types.ConfigRecords
FetchConfig = message_types.FetchConfig
ForwardAnswer = message_types.ForwardAnswer
ForwardCall = message_types.ForwardCall
FrameStream = frame_stream.FrameStream
FrameError = frame_stream.FrameError
Header = message_types.Header
Heartbeat = message_types.Heartbeat
Hello = message_types.Hello
MemberDigest = message_types.MemberDigest
MemberState = message_types.MemberState
Message = message_types.Message
Refusal = message_types.Refusal
TrafficCount = traffic_count.TrafficCount
Welcome = message_types.Welcome
decode = message_codec.decode
encode = message_codec.encode

__all__ = [
    'PROTOCOL_VERSION',
    'Challenge',
    'ConfigRecord',
    'ConfigRecords',
    'FetchConfig',
    'ForwardAnswer',
    'ForwardCall',
    'FrameError',
    'FrameStream',
    'Header',
    'Heartbeat',
    'Hello',
    'MemberDigest',
    'MemberState',
    'Message',
    'Refusal',
    'TrafficCount',
    'Welcome',
    'decode',
    'encode',
]
