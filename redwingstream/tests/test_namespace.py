"""Tests of the package's public namespace."""

import pathlib
import subprocess
import sys
import tomllib

import redwingstream

PROJECT = pathlib.Path(__file__).parents[2] / 'pyproject.toml'
HEAVY = ('aiocoap', 'asyncio', 'cleo', 'msgspec', 'pynng', 'statsd')


class TestNamespace:
    """What ``import redwingstream`` gives, and what it costs."""

    def test_every_public_name_is_there(self):
        """Each name of ``__all__`` is an attribute of the package."""
        missing = [
            name
            for name in redwingstream.__all__
            if not hasattr(redwingstream, name)
        ]
        assert missing == []

    def test_version_is_the_project_s(self):
        """The version stands in two files; they agree."""
        project = tomllib.loads(PROJECT.read_text())['project']
        assert redwingstream.__version__ == project['version']

    def test_import_is_light(self):
        """A daemon whose role needs no calls has grown by megabytes.

        Somebody has added a convenient name to the public namespace, and the
        module that defines it imports a large library.  Every process of the
        system imports the namespace, whatever its role.
        """
        listing = 'import redwingstream, sys; print(*sys.modules)'
        finished = subprocess.run(
            [sys.executable, '-c', listing],
            check=True,
            capture_output=True,
            text=True,
            cwd=PROJECT.parent,
        )
        loaded = set(finished.stdout.split())
        assert 'redwingstream.errors' in loaded
        assert loaded.isdisjoint(HEAVY)
