"""Carries events to the decisions and their actions to the sockets. It decides nothing."""
