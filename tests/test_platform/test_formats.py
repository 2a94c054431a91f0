"""
Test the decoders of settings, configuration and target registrations.

Operators and targets write these by hand or by other programs. An invalid one
must give a typed error or be skipped, and never end the process.
"""

import pytest
from msgspec.structs import replace

from cicadahoist.errors import ConfigError, WireError
from cicadahoist.platform.configuration import decode_deployment
from cicadahoist.platform.discovery import decode_listing
from cicadahoist.platform.settings_file import Address, InstanceSettings
from cicadahoist.requests import ModelWork, RepeatRule
from cicadahoist.rules import MAX_STATED_TOKENS

SETTINGS = """
node=front-a-1
zone=zone-a
zones.zone-a=region
zones.zone-b=region
ip=10.1.0.7
listen.front=10.1.0.7:8405
listen.ready=10.1.0.7:8406
port-range=7660,7675
platform.address=10.200.1.7:8408
cloud.address=10.200.0.60:8408
bounds.revoke-ms=5000
bounds.grace-s=8
bounds.retry-ratio=0.2
bounds.report-window-s=5
something.new=1
"""

CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r1',
            'host': 'h.example',
            'path-prefix': '/a/',
            'kind': 'streaming',
            'timeout-ms': 2000,
            'target-latency-ms': 150,
            'priority': 0,
            'traffic-split': [
                {'service': 's1', 'weight': 90},
                {'service': 's2', 'weight': 10},
            ],
            'max-attempts': 1,
            'public': False,
            'sticky': True,
            'resumable': False,
        },
        {
            'name': 'r2',
            'host': 'h.example',
            'path-prefix': '/a/b/',
            'kind': 'safe',
            'timeout-ms': 800,
            'service': 's2',
            'max-attempts': 2,
            'public': True,
        },
    ],
    'services': [
        {
            'name': 's1',
            'engine': {'slots': 32, 'kv-capacity-tokens': 9000},
            'autoscale': {
                'min': 1,
                'max': 4,
                'boot-s': 4.0,
                'spot-price': 0.15,
                'zone-prices': {'zone-a': 1.0},
            },
        },
        {'name': 's2', 'health-path': '/health', 'max-conns': 110},
    ],
    'limits': {'max-body-bytes': 100, 'unknown': 1},
    'tenants': [{'name': 'w1', 'api-keys': ['k1', 'k2'], 'priority': 3}],
}

ENTRY = {
    'service': 's1',
    'address': '10.128.0.9:8080',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 32,
    'state': 'ready',
    'cold-left-ms': 0,
    'stage': 'decode',
    'spot': True,
    'seq': 4,
}


def test_settings_are_converted_to_milliseconds():
    settings = InstanceSettings.from_text(SETTINGS)
    assert settings.instance == 'front-a-1'
    assert settings.zones == ('zone-a', 'zone-b')
    assert settings.caller_address == Address('10.1.0.7', 8405)
    assert settings.peer_ports == (7660, 7675)
    assert settings.grace_ms == 8000
    assert settings.usage_window_ms == 5000
    assert settings.retry_share == pytest.approx(0.2)


@pytest.mark.parametrize(
    ('before', 'after'),
    [
        ('node=front-a-1\n', ''),
        ('listen.front=10.1.0.7:8405', 'listen.front=nowhere'),
        ('bounds.grace-s=8', 'bounds.grace-s=long'),
    ],
)
def test_invalid_settings_raise_an_error_with_a_remedy(before, after):
    with pytest.raises(ConfigError) as caught:
        InstanceSettings.from_text(SETTINGS.replace(before, after))
    assert caught.value.remedy


@pytest.mark.parametrize(
    ('lines', 'core_count'),
    [
        ('', None),
        ('limits.cores=4\n', 4),
        ('limits.cpu-share=0.5\n', 0.5),
        ('limits.cores=4\nlimits.cpu-share=0.5\n', 2),
    ],
)
def test_processor_capacity_is_cores_times_share(lines, core_count):
    """Guard against small instances that collect load reports."""
    settings = InstanceSettings.from_text(f'{SETTINGS}\n{lines}')
    assert settings.core_count == core_count


def test_missing_settings_file_error_names_the_variable(tmp_path):
    with pytest.raises(ConfigError, match='CICADAHOIST_CONFIG'):
        InstanceSettings.from_file(str(tmp_path / 'none'))


def test_longest_matching_prefix_selects_the_route():
    deployment = decode_deployment(CONFIG)
    assert deployment.find_route('h.example', '/a/b/c').name == 'r2'
    assert deployment.find_route('h.example', '/a/x').name == 'r1'
    assert deployment.find_route('h.example', '/ab') is None
    assert deployment.find_route('other', '/a/x') is None


def test_route_kind_determines_the_repeat_rule():
    deployment = decode_deployment(CONFIG)
    assert deployment.find_route('h.example', '/a/x').repeat is RepeatRule.once
    safe = deployment.find_route('h.example', '/a/b/')
    assert safe.repeat is RepeatRule.repeatable


def test_traffic_split_follows_the_weights():
    route = decode_deployment(CONFIG).find_route('h.example', '/a/x')
    chosen = [route.choose_service(f'request-{n}') for n in range(2000)]
    assert 140 < chosen.count('s2') < 260
    assert route.choose_service('request-1') == route.choose_service(
        'request-1'
    )


def test_keys_services_and_limits_are_decoded():
    deployment = decode_deployment(CONFIG)
    assert deployment.holder_by_key['k2'].workspace == 'w1'
    assert deployment.holder_by_key['k2'].priority == 3
    assert deployment.limits.body_bytes == 100
    service = deployment.services_by_name['s1']
    assert service.orders.boot_ms == 4000
    assert service.engine.cache_tokens == 9000
    without = {k: v for k, v in CONFIG.items() if k != 'tenants'}
    assert decode_deployment(without).holder_by_key is None


def test_quotas_are_decoded_and_zero_or_none_is_no_limit():
    quota = {
        'unit': 'token_stream',
        'plain-tokens': 200,
        'rate-per-s': 1054375,
        'burst': 1054375,
    }
    tenants = [
        {'name': 'w1', **quota},
        {'name': 'w2', **quota, 'unit': 'request'},
        {'name': 'w3', **quota, 'burst': 0},
        {'name': 'w4', **quota, 'rate-per-s': None},
        {'name': 'w5'},
    ]
    quotas = decode_deployment(
        {**CONFIG, 'tenants': tenants}
    ).quota_by_workspace
    assert list(quotas) == ['w1', 'w2']
    work = ModelWork(model='m', prompt_tokens=11_969, max_output_tokens=102)
    assert quotas['w1'].compute_tokens(work) == 12_071
    assert quotas['w1'].compute_tokens(None) == 200
    endless = replace(work, prompt_tokens=10**4000)
    assert quotas['w1'].compute_tokens(endless) == MAX_STATED_TOKENS
    assert quotas['w2'].compute_tokens(work) == 1


def test_the_tolerance_of_quotas_is_read_from_the_settings():
    text = 'bounds.quota-window-s=4\nbounds.quota-over=0.2\n'
    settings = InstanceSettings.from_text(SETTINGS + text)
    assert settings.quota_window_ms == 4000
    assert settings.quota_over_share == 0.2
    assert settings.quota_slack_tokens == 120_000


@pytest.mark.parametrize('spec', [None, 'x', {'version': 'one'}, {}])
def test_undecodable_configuration_raises_a_typed_error(spec):
    with pytest.raises(WireError):
        decode_deployment(spec)


def test_entry_is_decoded_to_a_target():
    listing = decode_listing('i-1', ENTRY)
    assert listing.endpoint == ('10.128.0.9', 8080)
    assert (listing.role, listing.is_cheap) == ('decode', True)
    assert not listing.is_leaving
    assert decode_listing('i-1', {**ENTRY, 'state': 'draining'}).is_leaving


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'resting'},
        {'address': 'nowhere'},
        {'address': 7},
        {'slots': 'many'},
        {'stage': 'sleep'},
        {'service': None},
        {'version': 2},
    ],
)
def test_malformed_entries_are_skipped(change):
    assert decode_listing('i-1', {**ENTRY, **change}) is None


# Two targets without a version were taken for ones of the same version.
def test_an_entry_without_a_version_names_no_target():
    entry = {key: ENTRY[key] for key in ENTRY if key != 'version'}
    assert decode_listing('i-1', entry) is None


@pytest.mark.parametrize('entry', [None, 'x', 4, []])
def test_entries_that_are_no_objects_are_skipped(entry):
    assert decode_listing('i-1', entry) is None
