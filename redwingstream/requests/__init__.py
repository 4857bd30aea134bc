"""Non-idempotent requests: at most one run each, and truthful outcomes."""
