"""Settings files: each wrong line is reported, and all of them at once."""

import pathlib
import re
import subprocess
import sys

import hypothesis
from hypothesis import strategies
import pytest

from apricotthread.base import settings

VALID_TEXT = """\
[node]
id = a1
data_centre = north
data_folder = /var/lib/a1
[listen]
host = 127.0.0.1
caller_port = 7000
endpoint_port = 7001
operator_port = 7002
[nodes]
a1 = north 127.0.0.1:7003 entry,control
"""


def find_faults(text):
    """Return the faults that are found in a settings text."""
    with pytest.raises(settings.SettingsError) as caught:
        settings.parse_settings(text, file='a1.ini')
    return caught.value.faults


def test_valid_settings_are_accepted():
    parsed = settings.parse_settings(VALID_TEXT, file='a1.ini')
    assert parsed.own.is_voter
    assert parsed.node_by_id['a1'].peer_port == 7003


@pytest.mark.parametrize(
    ('old', 'new', 'section', 'key', 'allowed'),
    [
        ('caller_port = 7000', 'caller_port = 0', 'listen', 'caller_port',
         '1 to 65535'),
        ('host = 127.0.0.1', 'host = here', 'listen', 'host', 'IP number'),
        ('id = a1', 'id = a 1', 'node', 'id', 'name without blanks'),
        ('data_centre = north', 'data_centre = south', 'node', 'data_centre',
         'north'),
        ('data_folder = /var/lib/a1', '', 'node', 'data_folder', 'a folder'),
        ('data_folder', 'data_dir', 'node', 'data_dir', 'data_folder'),
        ('entry,control', 'entry', 'nodes', '-', 'odd number'),
        ('entry,control', 'king', 'nodes', 'a1', 'roles entry, control'),
        ('[nodes]', '[limits]\nqueue_length = -1\n[nodes]', 'limits',
         'queue_length', 'whole number above 0'),
        ('[nodes]', '[timing]\nlease_s = 0.1\n[nodes]', 'timing', 'lease_s',
         'at least 3 x heartbeat_s'),
        ('[nodes]', '[limits]\nmax_body_bytes = 4 MB\n[nodes]', 'limits',
         'max_body_bytes', 'K or M'),
    ],
)  # fmt: skip
def test_a_fault_names_the_key_the_value_and_what_is_allowed(
    old, new, section, key, allowed
):
    faults = find_faults(VALID_TEXT.replace(old, new))
    fault = next(f for f in faults if f.section == section and f.key == key)
    assert allowed in fault.allowed
    assert str(fault).startswith(f'a1.ini: [{section}] {key} = ')


def test_all_faults_are_reported_at_once():
    text = VALID_TEXT.replace('7000', 'x').replace('7001', 'y')
    assert {f.key for f in find_faults(text)} >= {
        'caller_port',
        'endpoint_port',
    }


@hypothesis.given(text=strategies.text(max_size=300))
def test_random_text_is_refused_with_typed_faults(text):
    assert find_faults(text)


@hypothesis.given(
    line=strategies.integers(0, 10), junk=strategies.text(max_size=40)
)
def test_a_random_line_is_accepted_or_refused_with_typed_faults(line, junk):
    lines = VALID_TEXT.splitlines()
    lines[line] = junk
    try:
        settings.parse_settings('\n'.join(lines), file='a1.ini')
    except settings.SettingsError as error:
        assert error.faults


def test_the_example_documents_every_key():
    example = pathlib.Path('docs/example.ini').read_text()
    for key in settings.KEYS:
        assert f'{key.key} =' in example, key.key
    uncommented = '\n'.join(
        line.removeprefix('# ') if ' = ' in line else line
        for line in example.splitlines()
    )
    settings.parse_settings(uncommented, file='example.ini')


def test_the_example_of_a_fleet_documents_every_key():
    example = pathlib.Path('docs/example-fleet.ini').read_text()
    for key in settings.DISCOVERY_KEYS:
        assert f'{key.key} =' in example, key.key
    uncommented = '\n'.join(
        line.removeprefix('# ') if ' = ' in line else line
        for line in example.splitlines()
    )
    read = settings.parse_settings(uncommented, file='example-fleet.ini')
    assert len(read.discovery.seeds) == 3
    assert read.discovery.seeds[0].peer_port == 7340
    assert read.own.is_voter and read.own.is_entry
    assert read.discovery.data_centres == ('north', 'middle', 'south')


def test_wrong_lines_of_a_fleet_are_all_reported():
    example = pathlib.Path('docs/example-fleet.ini').read_text()
    wrong = (
        example.replace('first_start = false', 'first_start = perhaps')
        .replace('peer_port = 7340', 'peer_port = 0')
        .replace('roles = entry,control', 'roles = king')
    )
    with pytest.raises(settings.SettingsError) as refused:
        settings.parse_settings(wrong, file='a.ini')
    assert {fault.key for fault in refused.value.faults} == {
        'first_start',
        'peer_port',
        'roles',
    }


def test_a_control_node_of_a_fleet_needs_a_data_folder():
    example = pathlib.Path('docs/example-fleet.ini').read_text()
    wrong = example.replace('data_folder = /var/lib/apricotthread', '')
    with pytest.raises(settings.SettingsError) as refused:
        settings.parse_settings(wrong, file='a.ini')
    assert refused.value.faults[0].key == 'data_folder'


def test_the_template_of_the_platform_gives_valid_settings():
    """Fill in the template as the platform's documentation says."""
    template = pathlib.Path('deploy/node.ini.tmpl').read_text()
    template = re.sub(
        r'{{\^listen-addrs.control}}.*?{{/listen-addrs.control}}\n',
        '',
        template,
        flags=re.DOTALL,
    )
    template = re.sub(r'{{[#/]listen-addrs.control}}\n', '', template)
    value_by_placeholder = {
        'ip': '10.1.0.43',
        'zone': 'north',
        'data-path': '/data/control',
        'listen-addrs.front': '',
        'listen-addrs.ready': '',
        'listen-addrs.control': '10.1.0.43:8229',
        'seed-nodes': '10.1.0.43:8229,10.2.0.31:8229',
        'bootstrap': 'true',
        '#zones}}{{@}},{{/zones': 'north,south,',
        'port-range.0': '7340',
        'node-role': 'control',
        'fault-tolerance.machines': '1',
        'bounds.retry-budget-ratio': '0.2',
        'bounds.budget-slack': '132',
        'bounds.budget-window-s': '10',
        'bounds.cold-overshoot': '1.5',
    }
    for placeholder, value in value_by_placeholder.items():
        template = template.replace('{{' + placeholder + '}}', value)
    assert '{{' not in template
    read = settings.parse_settings(template, file='node.ini')
    assert read.discovery.control_address.port == 8229
    assert read.discovery.caller_address is None
    assert read.discovery.first_start
    assert read.discovery.retry_slack == 132


def test_the_daemon_exits_64_on_an_unknown_option():
    daemon = pathlib.Path(sys.executable).with_name('apricotthread-node')
    completed = subprocess.run(
        [daemon, '--sittings', 'a1.ini'], capture_output=True, text=True
    )
    assert completed.returncode == 64
    assert 'usage:' in completed.stderr


def test_the_daemon_exits_78_on_a_wrong_setting(tmp_path):
    path = tmp_path / 'a1.ini'
    path.write_text(VALID_TEXT.replace('7000', 'x'))
    daemon = pathlib.Path(sys.executable).with_name('apricotthread-node')
    completed = subprocess.run(
        [daemon, '--settings', path], capture_output=True, text=True
    )
    assert completed.returncode == 78
    assert '[listen] caller_port' in completed.stderr
    assert 'Traceback' not in completed.stderr
