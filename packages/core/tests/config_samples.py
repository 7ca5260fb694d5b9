"""Sample configurations for tests, and hypothesis strategies that generate objects."""

from hypothesis import settings
from hypothesis import strategies as st
from tanagerreach_core.config import (
    ApiKey,
    DataCentre,
    Limit,
    Route,
    Service,
    Target,
    Workspace,
    hash_key,
)

# Any example may be slow on a busy machine, and these tests do not measure time.
settings.register_profile("untimed", deadline=None)
settings.load_profile("untimed")

KEY_TEXT = "kf-live-0000000000000001"

words = st.from_regex(r"[a-z][a-z0-9-]{0,8}", fullmatch=True)
labels = st.dictionaries(words.filter(lambda word: word != "name"), words, max_size=3)
targets = st.builds(
    Target,
    name=words,
    address=st.integers(1, 65_535).map("10.0.0.1:{}".format),
    data_centre=words,
    labels=labels,
)
workspaces = st.builds(Workspace, name=words, labels=labels, version=st.integers(0, 9))
objects = st.one_of(
    workspaces,
    st.builds(
        ApiKey,
        name=words,
        key_hash=words.map(lambda word: hash_key(word * 20)),
        workspace=words,
        withdrawn=st.booleans(),
    ),
    st.builds(
        Service,
        name=words,
        targets=st.lists(targets, max_size=3).map(tuple),
        timeout_s=st.floats(0.001, 3600.0),
    ),
    st.builds(DataCentre, name=words, labels=labels, changed_by=st.text(max_size=5)),
    st.builds(
        Route,
        name=words,
        service=words,
        host=st.none() | words,
        idempotent=st.none() | st.booleans(),
        methods=st.lists(st.sampled_from(["GET", "POST"]), unique=True).map(tuple),
    ),
    st.builds(
        Limit, name=words, rate_per_s=st.floats(0.1, 1e6), burst=st.floats(1, 1e6), labels=labels
    ),
)


def make_service(name="catalogue", count=2, **fields):
    """Build a service whose targets alternate between data centres a and b."""
    made = tuple(
        Target(
            name=f"{name}-{number}",
            address=f"10.0.0.1:{number + 1000}",
            data_centre="ab"[number % 2],
        )
        for number in range(count)
    )
    return Service(name=name, targets=made, **fields)


def make_objects():
    """Build the objects of a small valid configuration."""
    return [
        Workspace(name="acme", labels={"tier": "gold"}),
        ApiKey(name="acme-1", key_hash=hash_key(KEY_TEXT), workspace="acme"),
        DataCentre(name="a"),
        DataCentre(name="b"),
        make_service(),
        Route(name="catalogue", path_prefix="/catalogue", service="catalogue"),
        Limit(name="all", rate_per_s=10.0, burst=20.0),
    ]
