"""Malformed messages from other controllers do not end the controller process."""

from __future__ import annotations

from typing import Any

import pytest

from marblestair.node import Node
from marblestair.policy import Policy
from tests.fakes.samples import node_settings


def test_malformed_messages_do_not_end_the_process(caplog: pytest.LogCaptureFixture) -> None:
    node = Node(node_settings(0), Policy())
    replies: list[Any] = []
    node._receive_message("n1", "summaries", [])
    node._receive_message("n1", "what", [1])
    node._receive_request(replies.append, "n1", "apply", [])
    node._receive_request(replies.append, "n1", "what", [1])
    assert replies == [None, None]
    assert [record.levelname for record in caplog.records] == ["ERROR", "ERROR"]
