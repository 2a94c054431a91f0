from cicadahoist.cmd.operator.exit_codes import ExitCode
from cicadahoist.settings import SETTINGS


def test_config_check_reports_invalid_setting_and_remedy(operator, tmp_path):
    path = tmp_path / 'entry.ini'
    path.write_text('[entry]\nport = 9000\n')
    assert (
        'correct' in operator.run_checked(['config', 'check', str(path)]).stdout
    )
    path.write_text('[entry]\nport = 70000\n')
    result = operator.run(['config', 'check', str(path)])
    assert result.exit_code == ExitCode.config
    assert '[entry] port = 70000' in result.stderr
    assert 'remedy: expected whole number from 0 to 65535' in result.stderr


def test_print_defaults_lists_every_setting(operator):
    printed = operator.run_checked('--print-defaults').stdout
    for option in SETTINGS:
        assert f'{option.key} = {option.default_text}'.rstrip() in printed
        assert option.summary in printed
