"""Non-idempotent requests: at most one run each, and truthful outcomes.

Modules
-------
records, states
    What is remembered of a request, and which knowledge is the better one.
ledger, begun
    What a request that has arrived is to get.
store, slots
    Entries by request and by bucket.
condensing, condensed, filters
    What a full ledger keeps of requests in place of their entries.
checksum
    Digest that tells apart uses of one message id.
outcomes
    The packets that tell a caller what became of its request.
counters
    What a ledger counts.
"""
