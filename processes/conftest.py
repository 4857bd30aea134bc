"""Every test of a module runs on the loop that its processes belong to."""

import pytest


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run asynchronous tests on one loop for each module."""
    for item in items:
        if 'processes' in item.path.parts:
            marker = pytest.mark.asyncio(loop_scope='module')
            item.add_marker(marker, append=False)
