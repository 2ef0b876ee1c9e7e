"""Reading of callers' requests on the product's own path."""

import json

import pytest

from turmerictray.config.load import parse_config
from turmerictray.core.errors import CallerError
from turmerictray.router.request import read_model_request

CONFIG = parse_config(
    json.dumps(
        {
            "version": 1,
            "services": [
                {
                    "name": "llm",
                    "kind": "model",
                    "targets": [{"id": "e0", "url": "http://e0", "zone": "z"}],
                }
            ],
            "teams": [{"id": "depot"}],
            "default_team": "depot",
        }
    )
)


@pytest.mark.parametrize("tokens", ["9" * 400, "-5000", str(1 << 62)])
def test_impossible_number_of_tokens_is_refused(tokens):
    """Guards against a cost that no sum or message of the routers can hold."""
    body = b'{"max_tokens": %s, "messages": []}' % tokens.encode()
    with pytest.raises(CallerError):
        read_model_request(CONFIG, "/v1/chat/completions", {}, body)
