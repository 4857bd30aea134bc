"""At-most-once execution of non-idempotent requests.

A ledger records each request before it runs.  A replay (a packet that repeats a
request) gets the recorded answer and never causes a second run.  The ledger of
the home, the agent that owns the bucket of the flow, is replicated to the heir,
which takes over if the home fails.

Modules
-------
records, states
    Key, state and entry of a request, and the precedence of states.
ledger, begin_results
    The ledger, and what it says about a request that has arrived.
store, slots
    Entries of a ledger by request and by bucket.
condensing_order, condensed, filters
    Bloom filters that replace entries when the ledger is full, and the order
    in which entries are replaced.
checksum
    Digest that distinguishes different requests with the same message id.
outcomes
    Packets that tell a caller the outcome of its request.
counters
    Counters of a ledger.
"""
