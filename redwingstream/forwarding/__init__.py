"""Messages that carry packets and feeds between balancers and agents."""
