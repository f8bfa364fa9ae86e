"""Loading and validation of the settings file."""

from foxtailrelay_core import settings

_VALID_TEXT = """
{
    // The entry VM in ruiru.
    "node": {
        "id": "entry-1", "zone": "ruiru", "caller_port": 1, "peer_port": 2
    },
    "cluster": {"name": "mwangi", "secret": "0123456789abcdef"},
    "platform": {"log_url": "http://10.0.0.1", "cloud_url": "http://10.0.0.2"}
}
"""


def test_comments_are_allowed_and_defaults_apply():
    loaded = settings.load_text(_VALID_TEXT, 'a.jsonc')
    assert loaded.timings == settings.TimingSettings()


def test_all_errors_are_reported_at_once_with_path_and_value():
    text = _VALID_TEXT.replace('"zone"', '"zome"').replace(': 1,', ': 700000,')
    text = text.replace('10.0.0.1', '')
    lines = settings.load_text(text, 'a.jsonc').text().splitlines()
    assert len(lines) == 4
    assert 'a.jsonc: node.zone: missing; add this key' in lines
    assert any('node.zome: unknown key' in line for line in lines)
    assert any('node.caller_port: found 700000' in line for line in lines)
    assert any('platform.log_url: found' in line for line in lines)


def test_secret_is_not_shown_in_errors():
    text = _VALID_TEXT.replace('0123456789abcdef', 'hush')
    assert 'hush' not in settings.load_text(text, 'a.jsonc').text()


def test_the_error_for_invalid_json_has_the_line_number():
    assert 'line 3' in settings.load_text('{\n"node":\n,}', 'a.jsonc').text()


def test_too_little_memory_is_an_error_with_the_least_value():
    text = _VALID_TEXT.replace(
        '"platform"', '"limits": {"memory_bytes": 1000000}, "platform"'
    )
    lines = settings.load_text(text, 'a.jsonc').text()
    assert 'limits.memory_bytes: found 1000000' in lines
    assert str(128 << 20) in lines
