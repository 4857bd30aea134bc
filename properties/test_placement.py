"""Keepers of one pool under every mixture of faults keep their promises."""

from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from properties.seeds import seed_of
from redwingstream.placement.effects import InEffect
from redwingstream.placement.tests.fakes import HORIZON
from redwingstream.placement.tests.model import (
    BUCKETS,
    ZONE_BY_HOST,
    Cluster,
    catch_up,
    deliver_all,
    heal_all,
    run_without_faults,
)

KEY_COUNT = 4
HOSTS = st.sampled_from(sorted(ZONE_BY_HOST))
KEYS = st.integers(min_value=0, max_value=KEY_COUNT - 1)
PORTS = st.integers(min_value=4000, max_value=4002)
INDEXES = st.integers(min_value=0, max_value=15)
VIEWS_BACK = st.integers(min_value=-3, max_value=-1)
SOME_HOSTS = st.sets(HOSTS, max_size=4)


@seed(seed_of('placement.KeepersUnderFaults'))
class KeepersUnderFaults(RuleBasedStateMachine):
    """Messages are lost, late, doubled; agents freeze, end and start again."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = Cluster()

    @rule(hosts=SOME_HOSTS, adopting=SOME_HOSTS)
    def change_view(self, hosts: set[str], adopting: set[str]) -> None:
        """Control commits a view; some hosts hear of it at once."""
        self.cluster.commit(hosts)
        for host in sorted(adopting):
            self.cluster.apply_view(host, -1)

    @rule(back=st.booleans())
    def move_home(self, *, back: bool) -> None:
        """Those who run move the bucket away from its home, or back."""
        hosts = set(ZONE_BY_HOST)
        home = self.cluster.control.newest_pair(0).home
        if home is not None and not back:
            hosts.discard(home.host)
        self.cluster.commit(hosts)
        for host in self.cluster.running_hosts():
            if host not in self.cluster.partitioned:
                self.cluster.apply_view(host, -1)
        run_without_faults(self.cluster, 1)

    @rule()
    def catch_up(self) -> None:
        """Those who run follow the newest view, and control settles it."""
        catch_up(self.cluster)

    @rule(hosts=SOME_HOSTS)
    def part(self, hosts: set[str]) -> None:
        """The network holds back what passes between two groups."""
        self.cluster.partitioned = hosts

    @rule(host=HOSTS, index=VIEWS_BACK)
    def adopt(self, host: str, index: int) -> None:
        """A host gets the tables, perhaps old ones, perhaps skipping some."""
        self.cluster.apply_view(host, index)

    @rule(hosts=SOME_HOSTS, seconds=st.sampled_from((0, 0.1, 0.6)))
    def tick(self, hosts: set[str], seconds: float) -> None:
        """Time passes and some hosts notice."""
        self.cluster.now += seconds
        for host in sorted(hosts):
            self.cluster.tick(host)

    @rule(index=INDEXES)
    def deliver(self, index: int) -> None:
        """Any message arrives, in any order."""
        self.cluster.deliver(index)

    @rule(index=INDEXES)
    def deliver_twice(self, index: int) -> None:
        """A message arrives and will arrive again."""
        self.cluster.deliver(index, keep=True)

    @rule(index=INDEXES)
    def lose(self, index: int) -> None:
        """A message is lost."""
        if self.cluster.in_transit:
            self.cluster.in_transit.pop(index % len(self.cluster.in_transit))

    @rule()
    def deliver_all(self) -> None:
        """The network catches up."""
        deliver_all(self.cluster)

    @rule()
    def calm(self) -> None:
        """Nothing fails for a moment."""
        run_without_faults(self.cluster, 1)

    @rule(host=HOSTS, key=KEYS)
    def request(self, host: str, key: int) -> None:
        """A balancer hands a request or its replay to any host."""
        self.cluster.request(host, key)

    @rule(key=KEYS)
    def spray(self, key: int) -> None:
        """The same request reaches every host."""
        for host in ZONE_BY_HOST:
            self.cluster.request(host, key)

    @rule(key=KEYS, arrives=st.booleans(), back=st.booleans())
    def contest(self, key: int, *, arrives: bool, back: bool) -> None:
        """A home that is cut off and the next one get the same request."""
        home = self.cluster.control.newest_pair(0).home
        if home is None:
            return
        self.cluster.request(home.host, key)
        if arrives:
            self.cluster.deliver(-1)
        self.part({home.host})
        self.move_home(back=False)
        following = self.cluster.control.newest_pair(0).home
        if following is not None:
            self.cluster.request(following.host, key)
        run_without_faults(self.cluster, 1)
        if back:
            self.move_home(back=True)
        self.part(set())
        deliver_all(self.cluster)

    @rule(host=HOSTS, port=PORTS)
    def open_flow(self, host: str, port: int) -> None:
        """A flow is established at a host."""
        self.cluster.open_flow(host, port)

    @rule()
    def freeze_home(self) -> None:
        """The newest home stops without losing its memory."""
        home = self.cluster.control.newest_pair(0).home
        if home is not None:
            self.freeze(home.host)

    @rule(host=HOSTS)
    def freeze(self, host: str) -> None:
        """A host stops without losing its memory."""
        self.cluster.run_by_host[host].frozen = True

    @rule(host=HOSTS)
    def thaw(self, host: str) -> None:
        """It goes on as if no time had passed."""
        self.cluster.run_by_host[host].frozen = False

    @rule(host=HOSTS)
    def restart(self, host: str) -> None:
        """An agent dies and starts again with an empty memory."""
        self.cluster.start(host)

    @rule()
    def wait_for_horizon(self) -> None:
        """Those who run are calm; then the longest replay time passes."""
        run_without_faults(self.cluster, HORIZON + 4)

    @invariant()
    def each_request_runs_at_most_once(self) -> None:
        """No key takes effect twice, over all runs of all hosts."""
        assert not self.cluster.account.requests_run_twice()

    @invariant()
    def no_accepted_flow_is_forgotten(self) -> None:
        """One of its pair lives on, so somebody holds it."""
        assert not self.cluster.lost_flows(ZONE_BY_HOST)

    def teardown(self) -> None:
        """Once faults stop, every bucket comes into effect and settles."""
        cluster = self.cluster
        heal_all(cluster)
        assert not cluster.control.views[-1].unsettled
        for bucket in range(BUCKETS):
            self._check_bucket(bucket)
        assert not cluster.account.requests_run_twice()

    def _check_bucket(self, bucket: int) -> None:
        cluster = self.cluster
        pair = cluster.control.newest_pair(bucket)
        home = pair.home.host
        keeper = cluster.run_by_host[home].agent.keeper
        assert keeper.status(bucket) == InEffect()
        for each in pair.members():
            assert not cluster.lost_flows((each.host,))
        for key in range(bucket, KEY_COUNT, BUCKETS):
            cluster.request(home, key)
        run_without_faults(cluster, 1)


TestKeepersUnderFaults = KeepersUnderFaults.TestCase
TestKeepersUnderFaults.settings = settings(
    max_examples=200, stateful_step_count=50
)
