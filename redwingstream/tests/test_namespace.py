"""The public namespace of the package and the cost of importing it."""

import pathlib
import subprocess
import sys
import tomllib

import redwingstream

PROJECT_FILE = pathlib.Path(__file__).parents[2] / 'pyproject.toml'
LARGE_LIBRARIES = ('aiocoap', 'asyncio', 'cleo', 'msgspec', 'pynng', 'statsd')


class TestNamespace:
    """Names that ``import redwingstream`` gives, and modules that it loads."""

    def test_every_public_name_exists(self):
        """Each name of ``__all__`` is an attribute of the package."""
        missing = [
            name
            for name in redwingstream.__all__
            if not hasattr(redwingstream, name)
        ]
        assert missing == []

    def test_version_agrees_with_project_file(self):
        """The versions in the package and in ``pyproject.toml`` agree."""
        project = tomllib.loads(PROJECT_FILE.read_text())['project']
        assert redwingstream.__version__ == project['version']

    def test_import_is_light(self):
        """Importing the package loads no large library.

        Every process of the system imports the package, whatever its role.  A
        public name whose module imports a large library makes all of them
        larger by megabytes, also those that do not use the library.
        """
        list_modules = 'import redwingstream, sys; print(*sys.modules)'
        finished = subprocess.run(
            [sys.executable, '-c', list_modules],
            check=True,
            capture_output=True,
            text=True,
            cwd=PROJECT_FILE.parent,
        )
        loaded = set(finished.stdout.split())
        assert 'redwingstream.errors' in loaded
        assert loaded.isdisjoint(LARGE_LIBRARIES)
