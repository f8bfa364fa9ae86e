"""Messages between nodes, and their Cap'n Proto encoding.

A frame is a four-byte big-endian length and one packed ``Envelope``::

    data = messages.encode(7, messages.FetchConfig(from_offset=12))
    assert messages.decode(data) == (7, messages.FetchConfig(12))
"""

from foxtailrelay_core.internal import frame_stream
from foxtailrelay_core.internal import message_codec
from foxtailrelay_core.internal import message_types
from foxtailrelay_core.internal import place_messages
from foxtailrelay_core.internal import process_messages
from foxtailrelay_core.internal import receive_room
from foxtailrelay_core.internal import report_codec
from foxtailrelay_core.internal import stream_messages
from foxtailrelay_core.internal import traffic_count
from foxtailrelay_core.internal import tunnel_messages

PROTOCOL_VERSION = message_types.PROTOCOL_VERSION

AnsweredSuspect = message_types.AnsweredSuspect
Challenge = message_types.Challenge
ConfigRecord = message_types.ConfigRecord
ConfigRecords = message_types.ConfigRecords
Crash = message_types.Crash
Exchange = message_types.Exchange
FetchConfig = message_types.FetchConfig
ForwardAnswer = message_types.ForwardAnswer
ForwardCall = message_types.ForwardCall
FrameError = frame_stream.FrameError
FrameStream = frame_stream.FrameStream
NoRoomError = frame_stream.NoRoomError
ReceiveRoom = receive_room.ReceiveRoom
SendError = frame_stream.SendError
Header = message_types.Header
Heartbeat = message_types.Heartbeat
Hello = message_types.Hello
LeaseMark = message_types.LeaseMark
MemberDigest = message_types.MemberDigest
MemberState = message_types.MemberState
Message = message_types.Message
NodeReport = message_types.NodeReport
PlaceAnswer = place_messages.PlaceAnswer
PlaceCall = place_messages.PlaceCall
PlaceEvent = place_messages.PlaceEvent
PlaceNote = place_messages.PlaceNote
ProcessFound = process_messages.ProcessFound
ProcessQuery = process_messages.ProcessQuery
QuarantinedSuspect = message_types.QuarantinedSuspect
Refusal = message_types.Refusal
ReportCopy = message_types.ReportCopy
ServerLimit = message_types.ServerLimit
ServerLoad = message_types.ServerLoad
Spend = message_types.Spend
StreamFound = stream_messages.StreamFound
StreamOrigin = stream_messages.StreamOrigin
StreamQuery = stream_messages.StreamQuery
TopicMark = message_types.TopicMark
TopicRecord = message_types.TopicRecord
TopicRecords = message_types.TopicRecords
TrafficCount = traffic_count.TrafficCount
TopicWant = message_types.TopicWant
TryCount = message_types.TryCount
TunnelAnswer = tunnel_messages.TunnelAnswer
TunnelOpen = tunnel_messages.TunnelOpen
TunnelState = tunnel_messages.TunnelState
UsageCount = message_types.UsageCount
VersionCount = message_types.VersionCount
Welcome = message_types.Welcome
DecodeError = message_codec.DecodeError
decode = message_codec.decode
decode_report = report_codec.decode_report
encode_report = report_codec.encode_report
encode = message_codec.encode

__all__ = [
    'PROTOCOL_VERSION',
    'AnsweredSuspect',
    'Challenge',
    'ConfigRecord',
    'ConfigRecords',
    'Crash',
    'Exchange',
    'FetchConfig',
    'ForwardAnswer',
    'ForwardCall',
    'FrameError',
    'FrameStream',
    'Header',
    'Heartbeat',
    'Hello',
    'LeaseMark',
    'MemberDigest',
    'MemberState',
    'Message',
    'NodeReport',
    'PlaceAnswer',
    'PlaceCall',
    'PlaceEvent',
    'PlaceNote',
    'QuarantinedSuspect',
    'Refusal',
    'ReportCopy',
    'SendError',
    'ServerLimit',
    'ServerLoad',
    'Spend',
    'TopicMark',
    'TopicRecord',
    'TopicRecords',
    'TrafficCount',
    'TopicWant',
    'TryCount',
    'TunnelAnswer',
    'TunnelOpen',
    'TunnelState',
    'UsageCount',
    'VersionCount',
    'Welcome',
    'DecodeError',
    'NoRoomError',
    'ReceiveRoom',
    'decode',
    'decode_report',
    'encode_report',
    'encode',
]
