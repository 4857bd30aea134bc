"""Seeds of the state machines.

Without a seed, hypothesis derives the examples of a test from the source text
of its class, so that each renamed identifier selects other examples and the
same commit may get another verdict.
"""

from types import MappingProxyType

SEED_BY_MACHINE = MappingProxyType(
    {
        'consensus.ReplicaFaults': (
            'ec5cfd7a53be5c2f565a665b855e11c2ea0827a7045e68f4e9406b3098e7'
            '3884d124ac18281701a126a72b92d8277367'
        ),
        'resizing.ResizingFaults': (
            '4186f8ce79421815b58222be3ce06c7e85302d57379b83e6c46127463a4e'
            'cbad0209019fd3b4ff1d8f6092897d88b64b'
        ),
        'resizing.ResizingFaultsOfFive': (
            '7904b038fd467c7f10b07af75ff402c36efef560303e125e390a8100ea03'
            '0b8aa62beb295267c292f1f32c7bca17ccdc'
        ),
        'ledger.LedgerMachine': (
            'e01c324245d2d51176bca532ada95d48a688415794a7c4d04ddd42dee494'
            'd34199e6cafb6852911466d3d48d90b1881e'
        ),
        'upstream.RequestMachine': (
            '74d0cf17908124d2d62411f7a3df256b7757c7b8c896900213b98fd71e92'
            'a6584b1a588e2ea84c25b02f728d7bb3e7b8'
        ),
        'feeds.FeedMachine': (
            '5757dbe38b9a82cc9ef88e31007286465df156fe2da54e4b0bce428d807a'
            'a6baecb7efb3550dd5b4fffdef65b6b0dc96'
        ),
        'admission.ConcurrencyMachine': (
            '97b1f0b201bc9db246173dbb1d82c66132604805f2f596c9008869a4ca3b'
            '378c0ed6e4a1518733505cbf8ced4822c8ac'
        ),
        'admission.FeedMachine': (
            '887b568d6f386e83029151805ea33bac3508f8d5185693529d057a4c8311'
            '9d02a78bdf5e265224006d45f780bf27a67'
        ),
        'placement.KeepersUnderFaults': (
            '884fbadadacb33ef102cc15cb07a52272b0045917b6b037032b41bf91930'
            '82d0a6251263fb2ca0dbfe49dc23dc71106b'
        ),
    }
)
"""Hexadecimal seed by module and class of the state machine."""


def seed_of(machine: str) -> int:
    """Return the seed of a state machine, named ``module.Class``."""
    return int(SEED_BY_MACHINE[machine], 16)
