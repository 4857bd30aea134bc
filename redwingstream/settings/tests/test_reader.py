"""Tests of reading settings: precedence, validation and error messages."""

import pytest

from redwingstream.endpoints import Endpoint
from redwingstream.errors import SettingError
from redwingstream.settings.reader import read_settings
from redwingstream.settings.roles import AgentSettings, ControlRoleSettings

FLAGS = {
    'host': 'carse-1',
    'endpoint': '127.0.0.1:7000',
    'zone': 'carse',
    'key-file': 'key',
    'control': '127.0.0.2:7000,127.0.0.3:7000',
    'server': '127.0.0.4:5683',
    'pool': 'sward-live',
}


class TestReadSettings:
    """Reading the settings of a role from flags and the environment."""

    def test_reads_flags(self) -> None:
        settings = read_settings(AgentSettings, FLAGS, {})
        assert settings.server == Endpoint('127.0.0.4', 5683)
        assert len(settings.control) == 2
        assert settings.weight == 100

    def test_flag_takes_precedence_over_environment(self) -> None:
        environ = {
            'REDWINGSTREAM_ZONE': 'strathmore',
            'REDWINGSTREAM_WEIGHT': '50',
        }
        settings = read_settings(AgentSettings, FLAGS, environ)
        assert settings.zone == 'carse'
        assert settings.weight == 50

    def test_missing_setting_error_names_flag_and_variable(self) -> None:
        flags = {**FLAGS, 'pool': None}
        with pytest.raises(SettingError, match='--pool.*REDWINGSTREAM_POOL'):
            read_settings(AgentSettings, flags, {})

    @pytest.mark.parametrize(
        ('flag', 'text'),
        [
            ('endpoint', 'localhost:7000'),
            ('endpoint', '127.0.0.1'),
            ('endpoint', '127.0.0.1:70000'),
            ('weight', '0'),
            ('weight', 'much'),
            ('zone', 'a zone'),
            ('zone', ''),
            ('drain-seconds', '-1'),
            ('drain-seconds', 'nan'),
            ('slots', '0'),
            ('control', ''),
        ],
    )
    def test_error_names_setting_value_and_allowed_values(
        self, flag: str, text: str
    ) -> None:
        with pytest.raises(SettingError) as caught:
            read_settings(AgentSettings, {**FLAGS, flag: text}, {})
        message = str(caught.value)
        assert f'--{flag} has value {text!r}; allowed: ' in message

    @pytest.mark.parametrize('text', ['0.0.0.0:7000', '[::]:7000', '1.2.3.4:0'])
    def test_rejects_unreachable_endpoint(self, text: str) -> None:
        """Guards against an agent that announces a wildcard address.

        The control instances would admit the agent, and balancers would send
        its packets to themselves: callers of its server time out while the
        agent appears healthy.
        """
        with pytest.raises(SettingError, match='--endpoint'):
            read_settings(AgentSettings, {**FLAGS, 'endpoint': text}, {})

    @pytest.mark.parametrize(
        'text',
        [
            'c1=127.0.0.1:7000,c1=127.0.0.2:7000',
            'c1=127.0.0.1:7000,c2=127.0.0.1:7000',
        ],
    )
    def test_rejects_duplicate_replica(self, text: str) -> None:
        """Guards against a duplicate that silently replaces another replica.

        With three control instances configured and one name copied by mistake,
        the group would have two replicas, and the loss of one would stop all
        changes.
        """
        flags = {**FLAGS, 'data-folder': 'data', 'replicas': text}
        with pytest.raises(SettingError, match='twice'):
            read_settings(ControlRoleSettings, flags, {})

    def test_replica_name_error_names_allowed_values(self) -> None:
        flags = {
            **FLAGS,
            'data-folder': 'data',
            'replicas': 'c 1=127.0.0.1:7000',
        }
        with pytest.raises(
            SettingError, match="'c 1' is not a valid name; allowed: "
        ):
            read_settings(ControlRoleSettings, flags, {})

    def test_reads_all_replicas(self) -> None:
        flags = {
            **FLAGS,
            'data-folder': 'data',
            'replicas': 'c1=127.0.0.1:7000,c2=127.0.0.2:7000',
        }
        settings = read_settings(ControlRoleSettings, flags, {})
        assert settings.replicas['c2'] == Endpoint('127.0.0.2', 7000)
