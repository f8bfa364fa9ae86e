"""The emulator counts streams by how their servers ended them."""

from emulator import sheet_process
from emulator import stream_counts
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
