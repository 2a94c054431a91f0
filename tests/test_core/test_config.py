import pytest

from cicadahoist.config import Config
from cicadahoist.errors import ConfigError
from cicadahoist.settings import ENTRY_PORT, LOG_FORMAT, SETTINGS


def load(tmp_path, text):
    path = tmp_path / 'entry.ini'
    path.write_text(text)
    return Config.from_file(path, SETTINGS)


def test_reads_values_and_defaults(tmp_path):
    config = load(tmp_path, '[entry]\nport = 9000\n')
    assert config.read(ENTRY_PORT) == 9000
    assert config.read(LOG_FORMAT) == 'text'


@pytest.mark.parametrize(
    ('text', 'said'),
    [
        ('[entry]\nporte = 1\n', 'porte: unknown setting'),
        ('[entry]\nport = many\n', 'port = many'),
        ('[entry]\nport = 70000\n', 'port = 70000'),
        ('[log]\nformat = xml\n', 'one of text, json'),
        ('port = 1\n', 'give a readable INI file'),
    ],
)
def test_refuses_wrong_settings(tmp_path, text, said):
    with pytest.raises(ConfigError) as caught:
        load(tmp_path, text)
    assert said in str(caught.value)
    assert 'entry.ini' in str(caught.value)
