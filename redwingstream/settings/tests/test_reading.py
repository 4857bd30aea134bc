"""Settings: flags before environment, checked, with clear errors."""

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
    """From texts to a checked object."""

    def test_reads_flags(self) -> None:
        settings = read_settings(AgentSettings, FLAGS, {})
        assert settings.server == Endpoint('127.0.0.4', 5683)
        assert len(settings.control) == 2
        assert settings.weight == 100

    def test_a_flag_goes_before_the_environment(self) -> None:
        environ = {
            'REDWINGSTREAM_ZONE': 'strathmore',
            'REDWINGSTREAM_WEIGHT': '50',
        }
        settings = read_settings(AgentSettings, FLAGS, environ)
        assert settings.zone == 'carse'
        assert settings.weight == 50

    def test_names_a_missing_setting_and_the_way_out(self) -> None:
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
    def test_names_setting_value_and_what_is_allowed(
        self, flag: str, text: str
    ) -> None:
        with pytest.raises(SettingError) as caught:
            read_settings(AgentSettings, {**FLAGS, flag: text}, {})
        message = str(caught.value)
        assert f'--{flag} has value {text!r}; allowed: ' in message

    @pytest.mark.parametrize('text', ['0.0.0.0:7000', '[::]:7000', '1.2.3.4:0'])
    def test_refuses_an_endpoint_that_others_cannot_reach(
        self, text: str
    ) -> None:
        """Callers of one server time out, and everything looks well.

        Its agent is set to listen at all addresses.  It announces just that,
        control admits it, and balancers send its packets to themselves.
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
    def test_refuses_a_replica_that_is_named_twice(self, text: str) -> None:
        """Three control instances are set, and the loss of one stops changes.

        A name was copied and not changed; the second of the two replaced the
        first one, so that the group has two replicas.
        """
        flags = {**FLAGS, 'data-folder': 'data', 'replicas': text}
        with pytest.raises(SettingError, match='twice'):
            read_settings(ControlRoleSettings, flags, {})

    def test_says_what_a_name_of_a_replica_is(self) -> None:
        flags = {
            **FLAGS,
            'data-folder': 'data',
            'replicas': 'c 1=127.0.0.1:7000',
        }
        with pytest.raises(SettingError, match="'c 1' is no name; allowed: "):
            read_settings(ControlRoleSettings, flags, {})

    def test_reads_all_replicas(self) -> None:
        flags = {
            **FLAGS,
            'data-folder': 'data',
            'replicas': 'c1=127.0.0.1:7000,c2=127.0.0.2:7000',
        }
        settings = read_settings(ControlRoleSettings, flags, {})
        assert settings.replicas['c2'] == Endpoint('127.0.0.2', 7000)
