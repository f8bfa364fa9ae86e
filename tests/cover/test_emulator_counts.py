"""The emulator counts streams by how their servers ended them."""

from emulator import sheet_process
from emulator import stream_counts
from emulator import take_up_counts
from soak import answer_reader
from soak import request_record
from soak import server_process
from standin import server_settings
from standin import sheet_server


def test_streams_are_counted_by_framing_and_kind(tmp_path):
    def record(name, path, is_whole):
        answer = answer_reader.Answer(200, [], answer_reader.Framing.LENGTH)
        answer.is_whole = is_whole
        return request_record.RequestRecord(
            name, path, 'k1', 0.0, answer=answer, total_events=2
        )

    def process(number, framing, runs):
        settings = server_settings.Settings(
            f'lm-0-{number}', 'v1', number, 5, '', 0, 8, 0, 1.0, 0.0, 0.01
        )
        path = tmp_path / str(number)
        path.write_text(
            ''.join(
                f'stream {run} {name} 0 {framing}\n'
                + ''.join(f'event {run} {event + 1}\n' for event in range(n))
                for run, (name, n) in enumerate(runs.items())
            )
        )
        written = sheet_process.Record(settings)
        written.load(path)
        return server_process.ServerProcess(number, 'lm', written)

    processes = [
        process(1, sheet_server.CHUNKED, {'a': 2, 'b': 2, 'd': 1}),
        process(2, sheet_server.CLOSE, {'c': 1}),
    ]
    records = [
        record('a', 'stream', True),
        record('b', 'stream', False),
        record('c', 'resume', True),
        record('d', 'stream', False),
    ]
    assert stream_counts.count(records, processes) == {
        ('chunked', False): stream_counts.StreamCounts(3, 1, 2, 1),
        ('without a length', True): stream_counts.StreamCounts(1, 1, 0, 0),
    }


def test_take_ups_are_counted_by_name_and_kind_of_refusal():
    """Guards against refusals that count as answers, or under no kind."""

    def record(name, status, first=None, body=b'', is_whole=True, named=True):
        answer = answer_reader.Answer(
            status, [], answer_reader.Framing.LENGTH, bytearray(body), is_whole
        )
        return request_record.RequestRecord(
            name, 'resume', 'k1', 0.0, resumed=first, names_first=named,
            answer=answer if status else None,
        )  # fmt: skip

    begun = record('a', 200, is_whole=False)
    problem = b'{"type":"urn:x:problem:stream-origin-unknown"}'
    records = [
        begun,
        record('b', 200, is_whole=False),
        record('c', 503, begun, problem, named=False),
        record('d', 503, begun, b'{}', named=False),
        record('e', None, begun),
        record('f', 200, begun),
    ]
    found = take_up_counts.TakeUpCounts.from_records(records)
    assert found.named == {'no answer': 1, 'answered': 1}
    assert found.unnamed == {'stream-origin-unknown': 1, '503': 1}
    assert (found.begun, found.whole) == (2, 1)
    assert 'without: 2 (503 1, stream-origin-unknown 1)' in found.describe()
