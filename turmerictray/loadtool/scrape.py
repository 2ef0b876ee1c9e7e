"""Reading of a router's metrics endpoint."""

import urllib3
from prometheus_client.parser import text_string_to_metric_families

_CONTROL = "turmerictray_control_bytes_total"


def control_bytes(url: str, **labels: str) -> float:
    """Return the control bytes that a router has counted since its start.

    Parameters
    ----------
    url : str
        The router's base URL.
    **labels
        Count only samples with these label values (``channel``, ``direction``).

    Returns
    -------
    float
        Bytes.
    """
    page = urllib3.request("GET", url + "/metrics", timeout=5.0).data.decode()
    return sum(
        sample.value
        for family in text_string_to_metric_families(page)
        for sample in family.samples
        if sample.name == _CONTROL and labels.items() <= sample.labels.items()
    )
