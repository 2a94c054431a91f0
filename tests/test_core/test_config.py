import pytest

from cicadahoist.config import Config, render_defaults
from cicadahoist.errors import ConfigError
from cicadahoist.settings import ENTRY_PORT, LOG_FORMAT, SETTINGS


def load_config(tmp_path, text):
    path = tmp_path / 'entry.ini'
    path.write_text(text)
    return Config.from_file(path, SETTINGS)


def test_reads_values_and_defaults(tmp_path):
    config = load_config(tmp_path, '[entry]\nport = 9000\n')
    assert config.read(ENTRY_PORT) == 9000
    assert config.read(LOG_FORMAT) == 'text'


@pytest.mark.parametrize(
    ('text', 'expected_text'),
    [
        ('[entry]\nporte = 1\n', 'porte: unknown setting'),
        ('[entry]\nport = many\n', 'port = many'),
        ('[entry]\nport = 70000\n', 'port = 70000'),
        ('[DEFAULT]\nport = 1\n', 'unknown setting'),
        ('[entry]\nport = many\n', 'expected whole number from 0 to 65535'),
        ('[mesh]\nheartbeat_period = 2000\n', 'less than [mesh] peer_timeout'),
        ('[control]\nlease_term = 500\n', 'lease_margin = 500'),
        ('[instance]\nzone =\n', 'expected letters, digits'),
        ('[instance]\nname = a/b\n', 'name = a/b'),
        ('[log]\nformat = xml\n', 'one of text, json'),
        ('port = 1\n', 'give a readable INI file'),
    ],
)
def test_refuses_wrong_settings(tmp_path, text, expected_text):
    with pytest.raises(ConfigError) as caught:
        load_config(tmp_path, text)
    assert expected_text in str(caught.value)
    assert 'entry.ini' in str(caught.value)


def test_refuses_file_that_is_not_utf8(tmp_path):
    path = tmp_path / 'entry.ini'
    path.write_bytes(b'[entry]\nport = \xff\n')
    with pytest.raises(ConfigError, match='give a readable INI file'):
        Config.from_file(path, SETTINGS)


def test_printed_defaults_are_read_back_unchanged(tmp_path):
    config = load_config(tmp_path, render_defaults(SETTINGS))
    for option in SETTINGS:
        assert config.read(option) == option.default
