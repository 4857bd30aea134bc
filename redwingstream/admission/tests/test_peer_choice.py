"""Choice of another agent by its load reports."""

import random
from collections import Counter

from redwingstream.admission.peer_choice import REPORT_EXPIRY, PeerLoads
from redwingstream.forwarding.messages import LoadReport

NO_HOSTS = frozenset()


def peers(**in_flight_by_host) -> PeerLoads:
    loads = PeerLoads(random.Random(1))
    for host, in_flight in in_flight_by_host.items():
        loads.handle_report(LoadReport(host, 1, in_flight, 3, 0), now=0)
    return loads


class TestChoose:
    def test_less_loaded_of_two(self):
        loads = peers(carse1=2, fife1=0)
        assert loads.choose(NO_HOSTS, now=0) == 'fife1'

    def test_excluded_host_is_no_choice(self):
        loads = peers(carse1=0, fife1=2)
        assert loads.choose(frozenset(('carse1',)), now=0) == 'fife1'

    def test_stale_cold_draining_and_full_hosts_are_no_choice(self):
        loads = peers(full1=3)
        loads.handle_report(LoadReport('cold1', 1, 0, 1, 0), now=0)
        loads.handle_report(LoadReport('draining1', 1, 0, 0, 0), now=0)
        assert loads.choose(NO_HOSTS, now=0) is None
        loads.handle_report(LoadReport('warm1', 1, 0, 2, 0), now=0)
        assert loads.choose(NO_HOSTS, now=0) == 'warm1'
        assert loads.choose(NO_HOSTS, now=REPORT_EXPIRY + 1) is None

    def test_cold_host_is_chosen_while_all_are_cold(self):
        loads = PeerLoads(random.Random(1))
        loads.handle_report(LoadReport('cold1', 1, 0, 1, 0), now=0)
        loads.handle_report(LoadReport('busy1', 1, 1, 1, 0), now=0)
        loads.handle_report(LoadReport('draining1', 1, 0, 0, 0), now=0)
        assert loads.choose(NO_HOSTS, now=0) == 'cold1'
        assert loads.choose(NO_HOSTS, now=0) is None
        assert loads.choose(NO_HOSTS, now=REPORT_EXPIRY + 1) is None

    def test_host_is_not_chosen_beyond_its_reported_capacity(self):
        """Work sent since a report counts against the reported capacity.

        Guards against all agents sending to one host that has reported free
        capacity, until its next report arrives late and it is overloaded.
        """
        loads = peers(carse1=1, fife1=0)
        chosen = Counter(loads.choose(NO_HOSTS, now=0) for _ in range(10))
        assert chosen == {'carse1': 2, 'fife1': 3, None: 5}

    def test_report_that_misses_recently_sent_work(self):
        loads = peers(carse1=2)
        assert loads.choose(NO_HOSTS, now=0.1) == 'carse1'
        loads.handle_report(LoadReport('carse1', 1, 2, 3, 0), now=0.11)
        assert loads.choose(NO_HOSTS, now=0.11) is None
        loads.handle_report(LoadReport('carse1', 1, 2, 3, 0), now=0.3)
        assert loads.choose(NO_HOSTS, now=0.3) == 'carse1'

    def test_ended_work_no_longer_counts(self):
        loads = peers(carse1=2)
        assert loads.choose(NO_HOSTS, now=0, run_time=0.1) == 'carse1'
        assert loads.choose(NO_HOSTS, now=0.1, run_time=0.1) is None
        assert loads.choose(NO_HOSTS, now=0.2, run_time=0.1) == 'carse1'

    def test_report_of_an_earlier_run_is_ignored(self):
        loads = PeerLoads(random.Random(1))
        loads.handle_report(LoadReport('carse1', 2, 0, 0, 0), now=0)
        loads.handle_report(LoadReport('carse1', 1, 0, 3, 0), now=0)
        assert loads.choose(NO_HOSTS, now=0) is None

    def test_removed_host_is_no_choice(self):
        loads = peers(carse1=0)
        loads.remove('carse1')
        assert loads.choose(NO_HOSTS, now=0) is None

    def test_expected_latency_is_that_of_warm_peers(self):
        loads = PeerLoads(random.Random(1))
        assert loads.expected_latency(now=0) is None
        for host, limit, latency in (
            ('carse1', 3, 5),
            ('carse2', 3, 7),
            ('carse3', 2, 9),
            ('cold1', 1, 90),
            ('unknown1', 3, 0),
        ):
            report = LoadReport(host, 1, 0, limit, 0, latency)
            loads.handle_report(report, now=0)
        assert loads.expected_latency(now=0) == 7

    def test_two_choices_are_more_even_than_one(self):
        names = {f'host{number}': 0 for number in range(20)}
        loads = PeerLoads(random.Random(1))
        for host in names:
            loads.handle_report(LoadReport(host, 1, 0, 100, 0), now=0)
        chosen = Counter(loads.choose(NO_HOSTS, now=0) for _ in range(1000))
        one = random.Random(1).choices(sorted(names), k=1000)
        assert max(chosen.values()) <= 54 < max(Counter(one).values())
