"""Deltas between table revisions lead to the same table as whole shards."""

from hypothesis import given
from hypothesis import strategies as st

from cicadahoist.mesh.replica import Replica
from cicadahoist.mesh.shard_patch import apply_patch, make_patch
from cicadahoist.table import Head, KeyGrant, Shard, Workspace

ROWS = st.dictionaries(st.sampled_from('abcdef'), st.booleans())


def make_shard(workspaces: dict[str, bool], keys: dict[str, bool]) -> Shard:
    return Shard(
        workspaces=[
            Workspace(name=name, enabled=flag)
            for name, flag in workspaces.items()
        ],
        keys=[
            KeyGrant(digest=name, workspace='w', withdrawn=flag)
            for name, flag in keys.items()
        ],
    )


def collect_rows(shard: Shard) -> set:
    return {*shard.workspaces, *shard.keys}


def make_head(revision: int, name: str) -> Head:
    return Head(revision=revision, shards={'00': name})


@given(ROWS, ROWS, ROWS, ROWS)
def test_patch_produces_the_newer_shard(old_names, old_keys, names, keys):
    old, new = make_shard(old_names, old_keys), make_shard(names, keys)
    assert collect_rows(
        apply_patch(old, make_patch('old', old, new))
    ) == collect_rows(new)


def make_replicas() -> tuple[Replica, Replica]:
    """Return a replica at revision 2 and one at revision 1."""
    many = {f'workspace-{number}': True for number in range(500)}
    replicas = (Replica(), Replica())
    for replica in replicas:
        replica.apply(make_head(1, 'one'), {'one': make_shard(many, {})})
    newer = make_shard({**many, 'workspace-7': False}, {'key': True})
    replicas[0].apply(make_head(2, 'two'), {'two': newer})
    return replicas


def test_delta_contains_only_the_changed_rows():
    ahead, behind = make_replicas()
    delta = ahead.build_delta(1)
    assert not delta.shards
    assert sum(map(len, delta.patches.values())) < 500
    behind.apply(ahead.head, behind.decode_shards(delta))
    assert behind.table.rows() == ahead.table.rows()


def test_delta_for_a_newcomer_contains_whole_shards():
    ahead, _ = make_replicas()
    newcomer = Replica()
    delta = ahead.build_delta(0)
    newcomer.apply(ahead.head, newcomer.decode_shards(delta))
    assert newcomer.table.rows() == ahead.table.rows()


def test_patch_of_a_shard_not_held_is_incomplete():
    ahead, _ = make_replicas()
    newcomer = Replica()
    shards = newcomer.decode_shards(ahead.build_delta(1))
    assert not newcomer.is_complete(ahead.head, shards)


def test_patched_replica_builds_the_same_patches():
    ahead, behind = make_replicas()
    behind.apply(ahead.head, behind.decode_shards(ahead.build_delta(1)))
    assert behind.build_delta(1).patches == ahead.build_delta(1).patches
