"""Reading the key file, and errors of its mode and length."""

import pytest

from redwingstream.errors import ResultCode, SettingError
from redwingstream.keyfile import read_key_file

KEY = b'0123456789abcdef'


@pytest.fixture
def key_path(tmp_path):
    """A valid key file."""
    path = tmp_path / 'key'
    path.write_bytes(b''.join((KEY, b'\n')))
    path.chmod(0o600)
    return path


class TestReadKeyFile:
    def test_strips_white_space(self, key_path):
        assert read_key_file(key_path) == KEY

    @pytest.mark.parametrize('mode', [0o640, 0o604, 0o620, 0o602, 0o777])
    def test_refuses_files_that_others_can_access(self, key_path, mode):
        key_path.chmod(mode)
        with pytest.raises(SettingError, match='chmod 600') as caught:
            read_key_file(key_path)
        assert caught.value.code is ResultCode.KEY_FILE_OPEN

    @pytest.mark.parametrize('key', [b'', b'short', b'x' * 65])
    def test_refuses_wrong_lengths(self, key_path, key):
        key_path.write_bytes(key)
        with pytest.raises(SettingError, match='16 to 64') as caught:
            read_key_file(key_path)
        assert caught.value.code is ResultCode.BAD_SETTING

    def test_error_names_a_missing_file(self, tmp_path):
        with pytest.raises(SettingError, match='no-such-key'):
            read_key_file(tmp_path / 'no-such-key')
