"""The way of a caller's packet: route, pool, bucket, home, and back."""
