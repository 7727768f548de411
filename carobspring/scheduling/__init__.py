"""Queues, order and limits at an agent."""
