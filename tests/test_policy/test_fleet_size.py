from cicadahoist.policy.fleet_size import FleetSize


def test_small_fleets_with_added_instances_are_not_large():
    # Guards against new parts that begin to run on small deployments.
    size = FleetSize(large_from=12)
    assert not any(size.apply_count(count) for count in range(1, 12))
    assert not size.is_large


def test_a_large_fleet_that_loses_an_instance_stays_large():
    # Guards against parts that are switched with each restart.
    size = FleetSize(large_from=12)
    assert size.apply_count(12)
    assert not size.apply_count(11)
    assert not size.apply_count(10)
    assert size.is_large
    assert size.apply_count(9)
    assert not size.is_large
