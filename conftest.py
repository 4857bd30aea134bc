"""Fixed settings of every test run: the same verdict for the same commit."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile('ci')
