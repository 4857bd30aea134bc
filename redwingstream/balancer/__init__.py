"""The balancer: passes packets from the fabric to agents and answers back."""
