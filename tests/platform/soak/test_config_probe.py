"""The soak's check that configurations are in force in time."""

import pytest

from turmerictray.platform.soak.config_probe import check_configs_in_time
from turmerictray.platform.soak.record import Disturbance, Probe, Publication, SoakRecord


@pytest.mark.parametrize(
    ("at", "status", "is_late"),
    [
        (9.0, 404, True),
        (11.9, 200, False),
        (12.1, 200, True),
        (12.1, 404, False),
        (12.1, 503, False),
    ],
)
def test_answer_by_a_configuration_that_is_out_of_force_is_a_violation(at, status, is_late):
    record = SoakRecord()
    record.publications.append(Publication(2, 10.0, has_probed_route=False))
    record.probes.append(Probe("probe-1", "r1", at, at, status))
    assert bool(list(check_configs_in_time(record))) == is_late
    record.disturbances.append(Disturbance("r2/store", 0.0, 20.0))
    assert bool(list(check_configs_in_time(record))) == is_late
    record.disturbances.append(Disturbance("r1/store", 0.0, 8.0))
    assert bool(list(check_configs_in_time(record))) == (is_late and at > 11.0)
